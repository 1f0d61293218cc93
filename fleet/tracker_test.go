package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
)

var start = time.Unix(1000, 0)

func vm(id ident.VM, started int64, leaving bool) VM {
	return VM{ID: id, Service: "s", Address: "10.0.0.1:80", Started: started, Leaving: leaving}
}

func kinds(changes []Change) []ChangeKind {
	var out []ChangeKind
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	slices.Sort(out)
	return out
}

func TestTrackerChanges(t *testing.T) {
	tracker := NewTracker(Options{})
	now := start
	for i, step := range []struct {
		listed []VM
		want   []ChangeKind
	}{
		{[]VM{vm("a", 1, false), vm("b", 1, false)}, []ChangeKind{Joined, Joined}},
		{[]VM{vm("a", 1, false), vm("b", 1, false)}, nil},
		{[]VM{vm("a", 2, false), vm("b", 1, true)}, []ChangeKind{Leaving, Restarted}},
		{[]VM{vm("b", 1, true)}, []ChangeKind{Removed}},
		{nil, []ChangeKind{Removed}},
	} {
		now = now.Add(time.Second)
		if got := kinds(tracker.Update(now, Listing{VMs: step.listed})); !slices.Equal(got, step.want) {
			t.Errorf("step %d: got %v, want %v", i, got, step.want)
		}
	}
}

// TestOutageKeepsVMsForGracePeriod lets registrations expire during an outage of
// the store. VMs that register again within the grace period are never removed;
// the others are removed after it.
func TestOutageKeepsVMsForGracePeriod(t *testing.T) {
	tracker := NewTracker(Options{})
	tracker.Update(start, Listing{VMs: []VM{vm("a", 1, false), vm("b", 1, false)}})
	outageEnd := start.Add(10 * time.Second)
	if got := tracker.Update(outageEnd, Listing{VMs: nil}); len(got) != 0 {
		t.Fatalf("first listing after the outage: got %v, want no changes", kinds(got))
	}
	if got := tracker.Update(outageEnd.Add(time.Second), Listing{VMs: []VM{vm("a", 1, false)}}); len(got) != 0 {
		t.Fatalf("within the grace period: got %v, want no changes", kinds(got))
	}
	if got := kinds(tracker.Update(outageEnd.Add(DefaultReturnGrace), Listing{VMs: []VM{vm("a", 1, false)}})); !slices.Equal(got, []ChangeKind{Removed}) {
		t.Errorf("after the grace period: got %v, want one removal", got)
	}
	if tracker.Get("a") == nil || tracker.Get("b") != nil {
		t.Error("removed the wrong VM")
	}
}

// TestLeavingIsAppliedWithinGracePeriod checks that a VM that is listed as
// leaving is updated at once, also just after an outage.
func TestLeavingIsAppliedWithinGracePeriod(t *testing.T) {
	tracker := NewTracker(Options{})
	tracker.Update(start, Listing{VMs: []VM{vm("a", 1, false)}})
	if got := kinds(tracker.Update(start.Add(10*time.Second), Listing{VMs: []VM{vm("a", 1, true)}})); !slices.Equal(got, []ChangeKind{Leaving}) {
		t.Errorf("got %v, want leaving", got)
	}
}
