package replica

import (
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// barrierWritten records a version that this incarnation wrote. A listing or a
// change at that version or above was made after the incarnation started, so it
// reflects every release by an earlier incarnation.
func (m *machine) barrierWritten(v metastore.Version) { m.barrier = v }

// applyListing applies the VM's slots from a listing of all allocations at
// version v and returns true. A listing that may be older than the incarnation,
// or is older than an applied listing or change, proves nothing: it is ignored,
// and applyListing returns false.
func (m *machine) applyListing(v metastore.Version, slots map[ident.Model]allocation.Slot, now time.Time) bool {
	if !m.afterBarrier(v) || v < m.listVersion {
		return false
	}
	m.listVersion = v
	m.allocationsRead = true
	for _, s := range m.models {
		if _, ok := slots[s.name]; !ok {
			m.setSlot(s, allocation.Slot{}, v)
		}
	}
	for name, slot := range slots {
		m.setSlot(m.model(name), slot, v)
	}
	m.step(now)
	return true
}

// applyChange applies the VM's slot of one model from an allocation at version
// v. The slot is zero if there is none.
func (m *machine) applyChange(name ident.Model, slot allocation.Slot, v metastore.Version, now time.Time) {
	if !m.afterBarrier(v) {
		return
	}
	m.listVersion = max(m.listVersion, v)
	m.setSlot(m.model(name), slot, v)
	m.step(now)
}

func (m *machine) afterBarrier(v metastore.Version) bool {
	return m.o.faults.staleListings || (m.barrier != 0 && v >= m.barrier)
}

func (m *machine) setSlot(s *modelState, slot allocation.Slot, v metastore.Version) {
	if v < s.slotVersion && !m.o.faults.reuseFence {
		return
	}
	s.slotVersion = v
	s.slot = slot
	if slot.State == allocation.Revoking {
		s.relinquish()
	}
	if m.o.faults.reuseFence && slot.State == allocation.Held {
		s.relinquishedFence = 0
	}
}
