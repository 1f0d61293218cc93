package membership

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func vm(id ident.VM, address string, leaving bool) metastore.VM {
	return metastore.VM{ID: id, Role: metastore.RoleAgent, Region: "uusimaa", Zone: "z", Address: address, Upstream: "portal", Leaving: leaving}
}

func report(id ident.VM, inc ident.Incarnation, started int64, seq uint64) *wire.Report {
	return &wire.Report{
		VM: id, Incarnation: inc, Started: started, Seq: seq, Role: metastore.RoleAgent,
		Region: "uusimaa", Zone: "z", Upstream: "portal", Address: "10.0.0.1:1",
	}
}

func draining(r *wire.Report) *wire.Report {
	r.Draining = true
	return r
}

func TestWhoGetsNewWork(t *testing.T) {
	list := func(vms ...metastore.VM) func(*View) { return func(v *View) { v.ApplyListing(start, vms) } }
	hear := func(r *wire.Report) func(*View) { return func(v *View) { v.Reported(start, r, false) } }
	direct := func(r *wire.Report) func(*View) { return func(v *View) { v.Reported(start, r, true) } }
	tests := []struct {
		name   string
		events []func(*View)
		want   ident.Incarnation
	}{
		{"listed without a report", []func(*View){list(vm("a", "x", false))}, 0},
		{"report ahead of the list", []func(*View){hear(report("a", 1, 1, 1))}, 1},
		{"listed and reported", []func(*View){list(vm("a", "x", false)), hear(report("a", 1, 1, 1))}, 1},
		{"leaving by its own word", []func(*View){hear(report("a", 1, 1, 1)), hear(draining(report("a", 1, 1, 2)))}, 0},
		{"older word does not withdraw the drain", []func(*View){direct(draining(report("a", 1, 1, 2))), direct(report("a", 1, 1, 1))}, 0},
		{"word of an earlier life does not withdraw it", []func(*View){direct(draining(report("a", 2, 2, 1))), direct(report("a", 1, 1, 9))}, 0},
		{"drain withdrawn", []func(*View){direct(draining(report("a", 1, 1, 2))), hear(report("a", 1, 1, 3))}, 1},
		{"leaving by the list outlasts a restart", []func(*View){list(vm("a", "x", true)), direct(report("a", 1, 1, 1)), direct(report("a", 2, 2, 1))}, 0},
		{"leaving by the list", []func(*View){list(vm("a", "x", true)), hear(report("a", 1, 1, 1))}, 0},
		{"older list takes nothing back", []func(*View){hear(report("a", 1, 1, 1)), list(vm("a", "x", true)), list(vm("a", "x", false))}, 0},
		{"gone from the list", []func(*View){list(vm("a", "x", false)), hear(report("a", 1, 1, 1)), list(), hear(report("a", 1, 1, 2))}, 0},
		{"gone stays gone in an older list", []func(*View){list(vm("a", "x", false)), list(), list(vm("a", "x", false)), hear(report("a", 1, 1, 1))}, 0},
		{"older report", []func(*View){hear(report("a", 1, 1, 2)), hear(draining(report("a", 1, 1, 1)))}, 1},
		{"restarted", []func(*View){hear(report("a", 1, 1, 9)), hear(report("a", 2, 2, 1))}, 2},
		{"late word of an earlier life", []func(*View){hear(report("a", 2, 2, 1)), hear(report("a", 1, 1, 9))}, 2},
		{"retired life", []func(*View){direct(report("a", 1, 0, 1)), direct(report("a", 2, 0, 1)), direct(report("a", 1, 0, 9))}, 2},
		{"hearsay between equals", []func(*View){direct(report("a", 1, 0, 1)), hear(report("a", 2, 0, 1))}, 1},
		{"link down", []func(*View){hear(report("a", 1, 1, 1)), func(v *View) { v.Connected("a", LinkDown) }}, 0},
		{"link up again", []func(*View){hear(report("a", 1, 1, 1)), func(v *View) { v.Connected("a", LinkDown); v.Connected("a", LinkUp) }}, 1},
		{"address taken over", []func(*View){
			list(vm("a", "x", false)), hear(report("a", 1, 1, 1)),
			func(v *View) { v.ApplyListing(start.Add(1), []metastore.VM{vm("a", "x", false), vm("b", "x", false)}) },
			direct(report("a", 1, 1, 2)),
		}, 0},
		{"never listed", []func(*View){hear(report("a", 1, 1, 1)), func(v *View) { v.ApplyListing(start.Add(DefaultUnlisted), nil) }}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := New(Options{})
			for _, e := range test.events {
				e(v)
			}
			got, ok := v.Incarnation("a")
			listed := slices.ContainsFunc(v.Candidates("portal"), func(m Member) bool { return m.ID == "a" })
			if got != test.want || ok != (test.want != 0) || listed != ok {
				t.Fatalf("got %d, %v, candidate %v", got, ok, listed)
			}
		})
	}
}

// word is the newest that a VM has said of itself.
type word struct {
	incarnation, seq uint64
	draining         bool
}

func (w word) before(o word) bool {
	return w.incarnation < o.incarnation || w.incarnation == o.incarnation && w.seq < o.seq
}

// TestNoLateWordBringsAVMBack lets all sources speak in any order, late words
// included.
func TestNoLateWordBringsAVMBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, left := New(Options{}), false
		var newest word
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			leaving := rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			now := start.Add(time.Duration(i) * time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "source") {
			case 0:
				v.ApplyListing(now, []metastore.VM{vm("a", "x", leaving)})
				left = left || leaving
			case 1:
				if _, there := v.Member("a"); there && rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					v.ApplyListing(now, []metastore.VM{vm("a", "x", false)})
					v.ApplyListing(now, nil)
					left = true
				}
			case 2:
				v.Connected("a", Link(rapid.IntRange(0, 2).Draw(t, "link")))
			default:
				said := word{
					incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
					seq:         rapid.Uint64Range(1, 5).Draw(t, "seq"), draining: leaving,
				}
				r := report("a", ident.Incarnation(said.incarnation), int64(said.incarnation), said.seq)
				r.Draining = leaving
				v.Reported(now, r, rapid.Bool().Draw(t, "direct"))
				if newest.before(said) {
					newest = said
				}
			}
			got, ok := v.Incarnation("a")
			if ok && (left || newest.draining || uint64(got) != newest.incarnation) {
				t.Fatalf("incarnation %d gets new work, left %v, newest %+v", got, left, newest)
			}
		}
	})
}

func names(n int) []ident.VM {
	out := make([]ident.VM, n)
	for i := range out {
		out[i] = ident.VM(fmt.Sprintf("router-%d", i))
	}
	return out
}

func TestRankMovesOnlyTheShareOfWhoLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 60).Draw(t, "routers"))
		lost := rapid.SampledFrom(all).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(all), func(r ident.VM) bool { return r == lost })
		key := rapid.String().Draw(t, "key")
		want := slices.DeleteFunc(Rank(key, all), func(r ident.VM) bool { return r == lost })
		slices.Reverse(rest)
		if got := Rank(key, rest); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestRankSpreadsTheKeys(t *testing.T) {
	const keys, routers, spread = 1600, 8, 2
	count := make(map[ident.VM]int)
	for i := range keys {
		home, _ := Owner(fmt.Sprint("agent-", i), names(routers))
		count[home]++
	}
	if len(count) != routers {
		t.Fatalf("%d routers have keys", len(count))
	}
	for _, n := range slices.Collect(maps.Values(count)) {
		if n > spread*keys/routers || n < keys/routers/spread {
			t.Fatalf("uneven: %v", count)
		}
	}
	if _, ok := Owner("k", nil); ok {
		t.Fatal("a home without routers")
	}
}
