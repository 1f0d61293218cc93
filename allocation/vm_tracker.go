package allocation

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// VMTracker holds the platform's list of VMs and reports which VMs have been
// removed from it. It is a pure state machine and not safe for concurrent use.
//
// A listed VM counts as removed once lists that span the removal delay lack it.
// A VM that was never listed does not count as removed, since the list may be
// too old to contain it, unless a bound on the age of the list is given.
type VMTracker struct {
	self         ident.VM
	removalDelay time.Duration
	maxListAge   time.Duration
	vms          map[ident.VM]metastore.VM
	// missing holds the VMs that were listed before, with the time of the first
	// list without them.
	missing map[ident.VM]time.Time
	// unlistedSince holds the VMs that no list has contained, with the time of
	// the newest list when Removed was first called for them.
	unlistedSince map[ident.VM]time.Time
	lastUpdate    time.Time
}

// NewVMTracker returns an empty tracker of a process on the VM self.
// removalDelay is how long lists must lack a VM before it counts as removed.
// maxListAge, if not zero, is a bound on how old a list can be.
func NewVMTracker(self ident.VM, removalDelay, maxListAge time.Duration) *VMTracker {
	return &VMTracker{
		self:          self,
		removalDelay:  removalDelay,
		maxListAge:    maxListAge,
		vms:           make(map[ident.VM]metastore.VM),
		missing:       make(map[ident.VM]time.Time),
		unlistedSince: make(map[ident.VM]time.Time),
	}
}

// Update sets the list that was read at now and reports whether it was used.
// Once the process's own VM has been listed, a list without it is outdated or
// wrong and is ignored.
func (t *VMTracker) Update(vms []metastore.VM, now time.Time) bool {
	hasSelf := slices.ContainsFunc(vms, func(v metastore.VM) bool { return v.ID == t.self })
	if t.Listed(t.self) && !hasSelf {
		return false
	}
	previous := t.vms
	t.vms = make(map[ident.VM]metastore.VM, len(vms))
	for _, v := range vms {
		t.vms[v.ID] = v
		delete(t.missing, v.ID)
		delete(t.unlistedSince, v.ID)
	}
	for id := range previous {
		if _, ok := t.vms[id]; !ok {
			t.missing[id] = now
		}
	}
	t.lastUpdate = now
	return true
}

// Removed reports whether vm was listed and is confirmed to be removed, or
// whether Removed was first called for vm so long ago that even a list of the
// maximum age would contain it.
func (t *VMTracker) Removed(vm ident.VM) bool {
	if since, ok := t.missing[vm]; ok {
		return !t.lastUpdate.Before(since.Add(t.removalDelay))
	}
	if _, ok := t.vms[vm]; ok || t.maxListAge == 0 {
		return false
	}
	if _, ok := t.unlistedSince[vm]; !ok {
		t.unlistedSince[vm] = t.lastUpdate
	}
	return t.lastUpdate.After(t.unlistedSince[vm].Add(t.maxListAge))
}

// Listed reports whether any list has contained vm.
func (t *VMTracker) Listed(vm ident.VM) bool {
	_, listed := t.vms[vm]
	_, missing := t.missing[vm]
	return listed || missing
}

// VMs returns the newest list. The caller must not change it.
func (t *VMTracker) VMs() map[ident.VM]metastore.VM { return t.vms }

// Routers returns the listed routers that are not leaving, in no particular
// order.
func (t *VMTracker) Routers() []ident.VM {
	var ids []ident.VM
	for id, v := range t.vms {
		if v.Role == metastore.RoleRouter && !v.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}
