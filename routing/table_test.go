package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

var (
	start  = time.Unix(1_000_000, 0)
	target = Target{Upstream: "u", Model: "m"}
)

func report(vm ident.VM, seq uint64, change func(*wire.Report)) *wire.Report {
	r := &wire.Report{
		VM:          vm,
		Incarnation: 1,
		Seq:         seq,
		Role:        metastore.RoleAgent,
		Region:      "r1",
		Upstream:    "u",
		Concurrency: 4,
		Models:      []wire.ModelReport{{Model: "m", Phase: engine.PhaseLoaded}},
	}
	if change != nil {
		change(r)
	}
	return r
}

func newTable(t testing.TB, vms ...ident.VM) *Table {
	t.Helper()
	tab := NewTable(newChooser(t, nil))
	for _, vm := range vms {
		tab.Report(start, report(vm, 1, nil), 0)
	}
	return tab
}

func choose(t *testing.T, tab *Table, now time.Time, p ident.Priority) ident.VM {
	t.Helper()
	vm, _, err := tab.Choose(now, Lookup{Request: Request{Region: "r1", Priority: p}, Target: target})
	if err != nil {
		t.Fatal(err)
	}
	return vm
}

func TestReportUpdatesCandidates(t *testing.T) {
	tests := []struct {
		name      string
		report    *wire.Report
		accepted  bool
		remaining int
	}{
		{"stale report", report("a", 1, nil), false, 2},
		{"another incarnation", report("a", 0, func(r *wire.Report) { r.Incarnation = 2 }), true, 2},
		{"model unloaded", report("a", 2, func(r *wire.Report) { r.Models = []wire.ModelReport{{Model: "n", Phase: engine.PhaseLoaded}} }), true, 1},
		{"model loading", report("a", 2, func(r *wire.Report) { r.Models[0].Phase = engine.PhaseLoading }), true, 1},
		{"router", report("c", 1, func(r *wire.Report) { r.Role = metastore.RoleRouter }), false, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := newTable(t, "a", "b")
			if got := tab.Report(start, tt.report, 0); got != tt.accepted {
				t.Errorf("Report = %v, want %v", got, tt.accepted)
			}
			if got := tab.Candidates(target); got != tt.remaining {
				t.Errorf("%d candidates, want %d", got, tt.remaining)
			}
		})
	}
}

func TestRemovedVMIsNotChosen(t *testing.T) {
	tab := newTable(t, "a", "b")
	tab.Remove("a")
	for range 20 {
		if vm := choose(t, tab, start, 0); vm != "b" {
			t.Fatalf("chose %s after its removal", vm)
		}
	}
}

func TestTableCountsRequestsMissingFromReports(t *testing.T) {
	tab := newTable(t, "a", "b")
	tab.chooser.SetRouters(3)
	tab.Report(start, report("b", 2, func(r *wire.Report) { r.Running, r.Waiting = 4, 2 }), 0)
	sent := start.Add(2 * time.Second)
	for range 4 {
		tab.RequestStarted(sent, "a", 0)
	}
	stale := report("a", 2, nil)
	tab.Report(sent.Add(time.Second), stale, 2*time.Second)
	if vm := choose(t, tab, sent.Add(time.Second), 0); vm != "b" {
		t.Errorf("chose %s although 3 routers sent it 4 requests each after its report", vm)
	}
	for range 4 {
		tab.RequestEnded(sent.Add(time.Second), "a", target, 0, time.Second)
	}
	if vm := choose(t, tab, sent.Add(time.Second), 0); vm != "a" {
		t.Errorf("chose %s although all requests at a have ended", vm)
	}
}

func TestChooseIgnoresLessUrgentWaitingRequests(t *testing.T) {
	tab := newTable(t, "a", "b")
	tab.Report(start, report("a", 2, func(r *wire.Report) { r.Running, r.Waiting, r.WaitingByPriority = 4, 9, []int{0, 0, 9} }), 0)
	tab.Report(start, report("b", 2, func(r *wire.Report) { r.Running, r.Waiting, r.WaitingByPriority = 4, 3, []int{3} }), 0)
	if vm := choose(t, tab, start, 0); vm != "a" {
		t.Errorf("urgent request was sent to %s, where urgent requests wait", vm)
	}
	if vm := choose(t, tab, start, 2); vm != "b" {
		t.Errorf("less urgent request was sent to %s, where more requests wait", vm)
	}
}

func TestAffinityRespectsLoadBound(t *testing.T) {
	tab := NewTable(newChooser(t, nil))
	for i := range 6 {
		tab.Report(start, report(ident.VM(fmt.Sprintf("vm-%d", i)), 1, nil), 0)
	}
	l := Lookup{Request: Request{Region: "r1", Affinity: 42}, Target: target}
	counts := make(map[ident.VM]int)
	first, _, _ := tab.Choose(start, l)
	for i := range 120 {
		vm, ch, err := tab.Choose(start, l)
		if err != nil {
			t.Fatal(err)
		}
		if i < 4 && (vm != first || !ch.Affine) {
			t.Fatalf("request %d was sent to %s, want %s while its concurrency is not used up", i, vm, first)
		}
		tab.RequestStarted(start, vm, 0)
		counts[vm]++
	}
	for vm, n := range counts {
		if float64(n) > DefaultLoadBound*120/6+1 {
			t.Errorf("%s got %d of 120 requests, over the bound", vm, n)
		}
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	tab := newTable(t, "a", "b", "c")
	l := Lookup{Request: Request{Region: "r1", Affinity: 7}, Target: target, Adapter: "x"}
	got := testing.AllocsPerRun(100, func() {
		vm, _, _ := tab.Choose(start, l)
		tab.RequestStarted(start, vm, 0)
		tab.RequestEnded(start, vm, target, 0, time.Second)
	})
	if got != 0 {
		t.Errorf("%v allocations per choice, want none", got)
	}
}

// A VM restarts while the others serve short requests. Without a measurement it must not
// count as slow, or it gets no request until the others are overloaded.
func TestNewVMGetsRequestsBesideMeasuredOnes(t *testing.T) {
	tab := newTable(t, "a", "b", "c")
	now := start
	counts := map[ident.VM]int{}
	serve := func(n int) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			vm := choose(t, tab, now, 0)
			counts[vm]++
			tab.RequestStarted(now, vm, 0)
			tab.RequestEnded(now.Add(5*time.Millisecond), vm, target, 0, 5*time.Millisecond)
		}
	}
	serve(300)
	for _, vm := range []ident.VM{"a", "b", "c"} {
		if counts[vm] < 50 {
			t.Errorf("%s got %d of 300 requests", vm, counts[vm])
		}
	}
	tab.Remove("b")
	tab.Report(now, report("b", 1, nil), 0)
	clear(counts)
	serve(300)
	if counts["b"] < 50 {
		t.Errorf("the restarted VM got %d of 300 requests", counts["b"])
	}
}
