package fleet

import (
	"slices"
	"testing"
	"time"
)

// The store is restored from a copy made before some changes: what was known to have
// ended, restarted or to be leaving stays so, and VMs that the copy lacks are kept until
// they register again.
func TestRestoreTakesNothingBack(t *testing.T) {
	tracker := NewTracker(Options{})
	copied := []VM{vm("ended", 1, false), vm("restarted", 1, false), vm("leaving", 1, false)}
	tracker.Update(start, Listing{VMs: copied})
	newest := []VM{vm("restarted", 2, false), vm("leaving", 1, true), vm("joined", 1, false)}
	tracker.Update(start.Add(time.Second), Listing{VMs: newest})
	now := start.Add(2 * time.Second)
	if got := kinds(tracker.Update(now, Listing{VMs: copied, Restores: 1})); len(got) != 0 {
		t.Errorf("first listing of the restored store: %v", got)
	}
	if got := kinds(tracker.Update(now.Add(time.Second), Listing{VMs: append(slices.Clone(newest), copied[0]), Restores: 1})); len(got) != 0 {
		t.Errorf("after the VMs have registered again: %v", got)
	}
	if got := tracker.Update(now, Listing{VMs: copied}); got != nil {
		t.Errorf("a listing from before the restore that arrives late: %v", kinds(got))
	}
	later := now.Add(DefaultRestoreHold)
	if got := kinds(tracker.Update(later, Listing{VMs: newest, Restores: 1})); len(got) != 0 {
		t.Errorf("after the hold: %v", got)
	}
	if v := tracker.Get("leaving"); v == nil || !v.Leaving {
		t.Errorf("leaving VM: %+v", v)
	}
	// A server that is still registered when outdated entries have expired is running.
	if got := kinds(tracker.Update(later.Add(time.Second), Listing{VMs: append(slices.Clone(newest), copied[0]), Restores: 1})); !slices.Equal(got, []ChangeKind{Joined}) {
		t.Errorf("server registered after the hold: %v", got)
	}
}
