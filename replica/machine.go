package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/memory"
	"github.com/laureltally/laureltally/metastore"
)

// machine makes the decisions for one engine. Each event is passed with the
// time at which it happened and queues actions, which takeActions returns. It
// is not safe for concurrent use.
type machine struct {
	o            machineOptions
	orderTracker *inflight.Tracker
	reservations *memory.Reservations
	models       map[ident.Model]*modelState
	byName       []*modelState
	waiters      []*waiter
	permit       *permit
	// failures holds the failed orders that may not be repeated yet.
	failures map[memory.Key]failure

	// barrier is a store version that was written by this incarnation. Only a
	// listing or a change at this version or above proves that a slot is held.
	barrier metastore.Version
	// listVersion is the highest version of a listing or change that was
	// applied.
	listVersion     metastore.Version
	allocationsRead bool
	stateRead       bool
	draining        bool

	waiterSeq uint64
	orderSeq  uint64
	permitSeq uint64
	actions   []action
}

func newMachine(o machineOptions, started time.Time) *machine {
	return &machine{
		o:            o,
		orderTracker: inflight.New(started, o.settleTime),
		reservations: memory.New(o.memoryMB),
		models:       make(map[ident.Model]*modelState),
		failures:     make(map[memory.Key]failure),
	}
}

// takeActions returns the queued actions and empties the queue.
func (m *machine) takeActions() []action {
	a := m.actions
	m.actions = nil
	return a
}

func (m *machine) emit(a action) { m.actions = append(m.actions, a) }

func (m *machine) model(name ident.Model) *modelState {
	s := m.models[name]
	if s == nil {
		s = &modelState{name: name, adapters: make(map[ident.Adapter]*adapterState), adapterLeases: make(map[ident.Adapter]int)}
		m.models[name] = s
		i, _ := slices.BinarySearchFunc(m.byName, name, func(s *modelState, n ident.Model) int { return cmp.Compare(s.name, n) })
		m.byName = slices.Insert(m.byName, i, s)
	}
	return s
}

// sorted returns the known models by name, so that decisions are reproducible.
// The caller must not keep the slice while models are added.
func (m *machine) sorted() []*modelState { return m.byName }

// drain starts to relinquish every slot.
func (m *machine) drain(now time.Time) {
	m.draining = true
	m.step(now)
}

// drained reports whether the engine is empty and every slot is released.
func (m *machine) drained() bool {
	if _, open := m.orderTracker.InFlight(); open || !m.draining {
		return false
	}
	for _, s := range m.models {
		if s.phase != "" || s.slot.Fence != 0 {
			return false
		}
	}
	return true
}

// step makes every decision that the current state requires. It is called after
// each event and when time has passed.
func (m *machine) step(now time.Time) {
	if m.draining {
		m.relinquishAll()
	}
	m.settleWaiters(now)
	m.submitNextOrder(now)
	m.dropUnneededPermit()
	m.writeSlots(now)
}

func (m *machine) relinquishAll() {
	for _, s := range m.models {
		s.relinquish()
	}
}

// writeSlots sets relinquished slots to revoking and releases revoking slots of
// unloaded models.
func (m *machine) writeSlots(now time.Time) {
	if !m.allocationsRead {
		return
	}
	for _, s := range m.sorted() {
		if s.slot.Fence == 0 || s.writeInFlight || now.Before(s.writeAt) {
			continue
		}
		switch {
		case s.slot.State == allocation.Held && s.slot.Fence <= s.relinquishedFence && !m.o.faults.reuseFence:
			m.write(s, false)
		case s.slot.State == allocation.Revoking && m.confirmedUnloaded(s):
			m.write(s, true)
		}
	}
}

// confirmedUnloaded reports whether the engine does not have the model and no
// order can still load it.
func (m *machine) confirmedUnloaded(s *modelState) bool {
	if m.o.faults.releaseBeforeUnload {
		return true
	}
	if !m.stateRead || s.phase != "" {
		return false
	}
	return m.o.faults.ignoreInFlight || m.orderTracker.CannotLoad(s.name)
}

func (m *machine) write(s *modelState, release bool) {
	s.writeInFlight = true
	s.slotBeforeWrite = s.slot
	m.emit(slotWrite{model: s.name, fence: s.slot.Fence, release: release})
}

// slotWriteDone handles the end of a conditional update of a slot, whatever its
// result. The slot itself is read from the store; if it is unchanged, the
// update is retried after a delay.
func (m *machine) slotWriteDone(name ident.Model, now time.Time) {
	s := m.model(name)
	s.writeInFlight = false
	if s.slot == s.slotBeforeWrite {
		s.writeAt = now.Add(m.o.writeRetry)
	}
	m.step(now)
}

func (m *machine) orderInFlight(k ...engine.OrderKind) (engine.Order, bool) {
	o, ok := m.orderTracker.InFlight()
	return o, ok && slices.Contains(k, o.Kind)
}
