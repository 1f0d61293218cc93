package allocation

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// VMTracker remembers the platform's list of VMs and tells which VMs are gone from
// it. It is a pure state machine and not safe for concurrent use.
//
// A VM that was seen is gone once lists that span the confirmation time lack
// it. A VM that was never seen is not gone, since the list may be too old to
// show it, unless a bound on the lag of the list is given.
type VMTracker struct {
	self    ident.VM
	confirm time.Duration
	lag     time.Duration
	vms     map[ident.VM]metastore.VM
	// missing holds the VMs that were seen, by the first list without them.
	missing map[ident.VM]time.Time
	// unseen holds VMs that no list has shown, by when they were first asked for.
	unseen map[ident.VM]time.Time
	latest time.Time
}

// NewVMTracker returns an empty roster of a process on the VM self. Confirm is the
// time for which lists must lack a VM before it counts as gone. Lag, if not
// zero, is a bound on how old a list can be.
func NewVMTracker(self ident.VM, confirm, lag time.Duration) *VMTracker {
	return &VMTracker{
		self:    self,
		confirm: confirm,
		lag:     lag,
		vms:     make(map[ident.VM]metastore.VM),
		missing: make(map[ident.VM]time.Time),
		unseen:  make(map[ident.VM]time.Time),
	}
}

// Update takes a list that was read at now and returns whether it was used. A
// list that lacks the reader's own VM, once seen, is older or wrong.
func (r *VMTracker) Update(vms []metastore.VM, now time.Time) bool {
	hasSelf := slices.ContainsFunc(vms, func(v metastore.VM) bool { return v.ID == r.self })
	if r.Seen(r.self) && !hasSelf {
		return false
	}
	previous := r.vms
	r.vms = make(map[ident.VM]metastore.VM, len(vms))
	for _, v := range vms {
		r.vms[v.ID] = v
		delete(r.missing, v.ID)
		delete(r.unseen, v.ID)
	}
	for id := range previous {
		if _, ok := r.vms[id]; !ok {
			r.missing[id] = now
		}
	}
	r.latest = now
	return true
}

// Removed tells whether vm was seen and is confirmed to be gone, or was asked for
// so long ago that even a list of the greatest lag would show it.
func (r *VMTracker) Removed(vm ident.VM) bool {
	if since, ok := r.missing[vm]; ok {
		return !r.latest.Before(since.Add(r.confirm))
	}
	if _, ok := r.vms[vm]; ok || r.lag == 0 {
		return false
	}
	if _, ok := r.unseen[vm]; !ok {
		r.unseen[vm] = r.latest
	}
	return r.latest.After(r.unseen[vm].Add(r.lag))
}

// Seen tells whether any list has shown vm.
func (r *VMTracker) Seen(vm ident.VM) bool {
	_, listed := r.vms[vm]
	_, missing := r.missing[vm]
	return listed || missing
}

// VMs returns the newest list. The caller must not change it.
func (r *VMTracker) VMs() map[ident.VM]metastore.VM { return r.vms }

// Routers returns the listed routers that are not leaving, in no particular
// order.
func (r *VMTracker) Routers() []ident.VM {
	var ids []ident.VM
	for id, v := range r.vms {
		if v.Role == metastore.RoleRouter && !v.Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}
