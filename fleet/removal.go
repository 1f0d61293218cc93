package fleet

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// removal is what is known of the time at which a VM is taken away.
type removal struct {
	// stated is the remaining time that the newest listing gave.
	stated time.Duration
	// notBefore is the earliest time of the removal, by the clock of this process. It is
	// zero if the VM may be gone at any time.
	notBefore time.Time
}

// Drains reports whether the newest listing has a VM as leaving, and the VM is given the time to
// complete its responses: no removal is announced, or it lies ahead for certain.
func (t *Tracker) Drains(now time.Time, vm *VM) bool {
	listed := t.vms[vm.ID]
	if listed == nil || t.lacked(vm.ID) || !listed.SameInstance(vm) || !listed.Leaving {
		return false
	}
	r, announced := t.removals[instance{vm.ID, vm.Started}]
	return !announced || now.Before(r.notBefore)
}

// observeRemoval takes the announcement in an entry of a listing. The entry was written after
// the listing before it, at previous, if that showed the instance with another statement. Its
// age is unknown otherwise.
func (t *Tracker) observeRemoval(previous time.Time, v *VM) {
	if !v.RemovalAnnounced {
		return
	}
	id := instance{v.ID, v.Started}
	r, known := t.removals[id]
	if known && r.stated == v.RemovedIn {
		return
	}
	var notBefore time.Time
	if old := t.vms[v.ID]; old != nil && old.SameInstance(v) && !t.lacked(v.ID) {
		notBefore = previous.Add(v.RemovedIn)
	}
	if known && r.notBefore.Before(notBefore) {
		notBefore = r.notBefore
	}
	t.removals[id] = removal{stated: v.RemovedIn, notBefore: notBefore}
}

// lacked reports whether the newest listing lacks a VM that is kept.
func (t *Tracker) lacked(id ident.VM) bool {
	_, absent := t.absent[id]
	return absent
}
