package replica

import (
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// barrierWritten records a version that this incarnation wrote. A listing or a
// change at that version or above was made after the incarnation began, so no
// earlier incarnation's release can be missing from it.
func (m *machine) barrierWritten(v metastore.Version) { m.barrier = v }

// listing takes the VM's slots out of a listing of all grants at version v.
// A listing that may be older than the incarnation, or than what is known
// already, proves nothing and is dropped; listing then returns false.
func (m *machine) listing(v metastore.Version, slots map[ident.Model]allocation.Slot, now time.Time) bool {
	if !m.fresh(v) || v < m.listed {
		return false
	}
	m.listed = v
	m.grantsRead = true
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

// changed takes the VM's slot of one model, zero if there is none, out of a
// grant at version v.
func (m *machine) changed(name ident.Model, slot allocation.Slot, v metastore.Version, now time.Time) {
	if !m.fresh(v) {
		return
	}
	m.listed = max(m.listed, v)
	m.setSlot(m.model(name), slot, v)
	m.step(now)
}

func (m *machine) fresh(v metastore.Version) bool {
	return m.o.flaws.staleRights || (m.barrier != 0 && v >= m.barrier)
}

func (m *machine) setSlot(s *modelState, slot allocation.Slot, v metastore.Version) {
	if v < s.version && !m.o.flaws.reuseFence {
		return
	}
	s.version = v
	s.slot = slot
	if slot.State == allocation.Revoking {
		s.giveUp()
	}
	if m.o.flaws.reuseFence && slot.State == allocation.Held {
		s.gaveUp = 0
	}
}
