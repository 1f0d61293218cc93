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

func TestUsableMembers(t *testing.T) {
	list := func(vms ...metastore.VM) func(*View) { return func(v *View) { v.ApplyListing(start, vms) } }
	relayed := func(r *wire.Report) func(*View) { return func(v *View) { v.ApplyReport(start, r, false) } }
	direct := func(r *wire.Report) func(*View) { return func(v *View) { v.ApplyReport(start, r, true) } }
	tests := []struct {
		name   string
		events []func(*View)
		want   ident.Incarnation
	}{
		{"listed without a report", []func(*View){list(vm("a", "x", false))}, 0},
		{"report ahead of the list", []func(*View){relayed(report("a", 1, 1, 1))}, 1},
		{"listed and reported", []func(*View){list(vm("a", "x", false)), relayed(report("a", 1, 1, 1))}, 1},
		{"draining by its own report", []func(*View){relayed(report("a", 1, 1, 1)), relayed(draining(report("a", 1, 1, 2)))}, 0},
		{"older report does not withdraw the drain", []func(*View){direct(draining(report("a", 1, 1, 2))), direct(report("a", 1, 1, 1))}, 0},
		{"report of an earlier incarnation does not withdraw it", []func(*View){direct(draining(report("a", 2, 2, 1))), direct(report("a", 1, 1, 9))}, 0},
		{"drain withdrawn", []func(*View){direct(draining(report("a", 1, 1, 2))), relayed(report("a", 1, 1, 3))}, 1},
		{"leaving by the list persists after a restart", []func(*View){list(vm("a", "x", true)), direct(report("a", 1, 1, 1)), direct(report("a", 2, 2, 1))}, 0},
		{"leaving by the list", []func(*View){list(vm("a", "x", true)), relayed(report("a", 1, 1, 1))}, 0},
		{"older list does not withdraw leaving", []func(*View){relayed(report("a", 1, 1, 1)), list(vm("a", "x", true)), list(vm("a", "x", false))}, 0},
		{"removed from the list", []func(*View){list(vm("a", "x", false)), relayed(report("a", 1, 1, 1)), list(), relayed(report("a", 1, 1, 2))}, 0},
		{"older list does not restore a removed VM", []func(*View){list(vm("a", "x", false)), list(), list(vm("a", "x", false)), relayed(report("a", 1, 1, 1))}, 0},
		{"older report", []func(*View){relayed(report("a", 1, 1, 2)), relayed(draining(report("a", 1, 1, 1)))}, 1},
		{"restarted", []func(*View){relayed(report("a", 1, 1, 9)), relayed(report("a", 2, 2, 1))}, 2},
		{"delayed report of an earlier incarnation", []func(*View){relayed(report("a", 2, 2, 1)), relayed(report("a", 1, 1, 9))}, 2},
		{"superseded incarnation", []func(*View){direct(report("a", 1, 0, 1)), direct(report("a", 2, 0, 1)), direct(report("a", 1, 0, 9))}, 2},
		{"relayed report of an incarnation with the same start", []func(*View){direct(report("a", 1, 0, 1)), relayed(report("a", 2, 0, 1))}, 1},
		{"link down", []func(*View){relayed(report("a", 1, 1, 1)), func(v *View) { v.SetLink("a", LinkDown) }}, 0},
		{"link up again", []func(*View){relayed(report("a", 1, 1, 1)), func(v *View) { v.SetLink("a", LinkDown); v.SetLink("a", LinkUp) }}, 1},
		{"address taken over", []func(*View){
			list(vm("a", "x", false)), relayed(report("a", 1, 1, 1)),
			func(v *View) { v.ApplyListing(start.Add(1), []metastore.VM{vm("a", "x", false), vm("b", "x", false)}) },
			direct(report("a", 1, 1, 2)),
		}, 0},
		{"never listed", []func(*View){relayed(report("a", 1, 1, 1)), func(v *View) { v.ApplyListing(start.Add(DefaultUnlistedTimeout), nil) }}, 0},
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
				t.Fatalf("incarnation %d, usable %v, candidate %v", got, ok, listed)
			}
		})
	}
}

// reportedState holds the incarnation, the sequence number and the draining state
// of a report.
type reportedState struct {
	incarnation, seq uint64
	draining         bool
}

func (s reportedState) before(other reportedState) bool {
	return s.incarnation < other.incarnation || s.incarnation == other.incarnation && s.seq < other.seq
}

// TestDelayedEventsDoNotRestoreVM applies listings, reports and connection
// changes in any order, including delayed reports of earlier incarnations. A
// leaving, removed or draining VM must not get new work again because of them.
func TestDelayedEventsDoNotRestoreVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, leavingOrRemoved := New(Options{}), false
		var newest reportedState
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			leaving := rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			now := start.Add(time.Duration(i) * time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "source") {
			case 0:
				v.ApplyListing(now, []metastore.VM{vm("a", "x", leaving)})
				leavingOrRemoved = leavingOrRemoved || leaving
			case 1:
				if _, present := v.Member("a"); present && rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					v.ApplyListing(now, []metastore.VM{vm("a", "x", false)})
					v.ApplyListing(now, nil)
					leavingOrRemoved = true
				}
			case 2:
				v.SetLink("a", Link(rapid.IntRange(0, 2).Draw(t, "link")))
			default:
				state := reportedState{
					incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
					seq:         rapid.Uint64Range(1, 5).Draw(t, "seq"), draining: leaving,
				}
				r := report("a", ident.Incarnation(state.incarnation), int64(state.incarnation), state.seq)
				r.Draining = leaving
				v.ApplyReport(now, r, rapid.Bool().Draw(t, "direct"))
				if newest.before(state) {
					newest = state
				}
			}
			got, ok := v.Incarnation("a")
			if ok && (leavingOrRemoved || newest.draining || uint64(got) != newest.incarnation) {
				t.Fatalf("incarnation %d gets new work, leaving or removed %v, newest report %+v", got, leavingOrRemoved, newest)
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

func TestRankIsStableWhenVMLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 60).Draw(t, "routers"))
		removed := rapid.SampledFrom(all).Draw(t, "lost")
		rest := slices.DeleteFunc(slices.Clone(all), func(r ident.VM) bool { return r == removed })
		key := rapid.String().Draw(t, "key")
		want := slices.DeleteFunc(Rank(key, all), func(r ident.VM) bool { return r == removed })
		slices.Reverse(rest)
		if got := Rank(key, rest); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestOwnerSpreadsKeys(t *testing.T) {
	const keys, routers, tolerance = 1600, 8, 2
	count := make(map[ident.VM]int)
	for i := range keys {
		owner, _ := Owner(fmt.Sprint("agent-", i), names(routers))
		count[owner]++
	}
	if len(count) != routers {
		t.Fatalf("%d routers own keys, want all", len(count))
	}
	for _, n := range slices.Collect(maps.Values(count)) {
		if n > tolerance*keys/routers || n < keys/routers/tolerance {
			t.Fatalf("keys are spread unevenly: %v", count)
		}
	}
	if _, ok := Owner("k", nil); ok {
		t.Fatal("got an owner without routers")
	}
}
