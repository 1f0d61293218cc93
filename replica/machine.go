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

// machine decides for one engine. Each event takes the time at which it
// happened and queues actions, which take returns. It is not safe for
// concurrent use.
type machine struct {
	o       machineOptions
	book    *inflight.Tracker
	ledger  *memory.Reservations
	models  map[ident.Model]*modelState
	order   []*modelState
	waiters []*waiter
	place   *place
	// failures holds the failed orders that are not to be repeated yet.
	failures map[memory.Key]failure

	// barrier is a version of the store that was written by this incarnation.
	// Only what is newer proves a right.
	barrier    metastore.Version
	listed     metastore.Version
	grantsRead bool
	stateRead  bool
	draining   bool

	waiterSeq uint64
	orderSeq  uint64
	placeSeq  uint64
	actions   []action
}

func newMachine(o machineOptions, started time.Time) *machine {
	return &machine{
		o:        o,
		book:     inflight.New(started, o.settle),
		ledger:   memory.New(o.memoryMB),
		models:   make(map[ident.Model]*modelState),
		failures: make(map[memory.Key]failure),
	}
}

// take returns the queued actions and empties the queue.
func (m *machine) take() []action {
	a := m.actions
	m.actions = nil
	return a
}

func (m *machine) emit(a action) { m.actions = append(m.actions, a) }

func (m *machine) model(name ident.Model) *modelState {
	s := m.models[name]
	if s == nil {
		s = &modelState{name: name, adapters: make(map[ident.Adapter]*adapterState), adapterRuns: make(map[ident.Adapter]int)}
		m.models[name] = s
		i, _ := slices.BinarySearchFunc(m.order, name, func(s *modelState, n ident.Model) int { return cmp.Compare(s.name, n) })
		m.order = slices.Insert(m.order, i, s)
	}
	return s
}

// sorted returns the known models by name, so that decisions are reproducible.
// The caller must not keep the slice while models are added.
func (m *machine) sorted() []*modelState { return m.order }

// drain begins to give up every right.
func (m *machine) drain(now time.Time) {
	m.draining = true
	m.step(now)
}

// drained tells whether the engine is empty and every slot is freed.
func (m *machine) drained() bool {
	if _, open := m.book.InFlight(); open || !m.draining {
		return false
	}
	for _, s := range m.models {
		if s.phase != "" || s.slot.Fence != 0 {
			return false
		}
	}
	return true
}

// step takes every decision that the present state calls for. It is called
// after each event and when time has passed.
func (m *machine) step(now time.Time) {
	if m.draining {
		m.giveUpAll()
	}
	m.settleWaiters(now)
	m.nextOrder(now)
	m.dropStalePlace()
	m.writeSlots(now)
}

func (m *machine) giveUpAll() {
	for _, s := range m.models {
		s.giveUp()
	}
}

// writeSlots passes slots that are given up through revoking to free.
func (m *machine) writeSlots(now time.Time) {
	if !m.grantsRead {
		return
	}
	for _, s := range m.sorted() {
		if s.slot.Fence == 0 || s.writing || now.Before(s.writeAt) {
			continue
		}
		switch {
		case s.slot.State == allocation.Held && s.slot.Fence <= s.gaveUp && !m.o.flaws.reuseFence:
			m.write(s, false)
		case s.slot.State == allocation.Revoking && m.confirmedGone(s):
			m.write(s, true)
		}
	}
}

// confirmedGone tells whether the engine does not have the model and nothing
// can still load it.
func (m *machine) confirmedGone(s *modelState) bool {
	if m.o.flaws.ackBeforeUnload {
		return true
	}
	if !m.stateRead || s.phase != "" {
		return false
	}
	return m.o.flaws.ignorePending || m.book.CannotLoad(s.name)
}

func (m *machine) write(s *modelState, release bool) {
	s.writing = true
	s.attempted = s.slot
	m.emit(writeGrant{model: s.name, fence: s.slot.Fence, release: release})
}

// wrote ends a conditional update of a slot, whatever became of it. The slot
// itself is learnt from the store; one that is unchanged is tried again later.
func (m *machine) wrote(name ident.Model, now time.Time) {
	s := m.model(name)
	s.writing = false
	if s.slot == s.attempted {
		s.writeAt = now.Add(m.o.writeRetry)
	}
	m.step(now)
}

func (m *machine) openOrder(k ...engine.OrderKind) (engine.Order, bool) {
	o, ok := m.book.InFlight()
	return o, ok && slices.Contains(k, o.Kind)
}
