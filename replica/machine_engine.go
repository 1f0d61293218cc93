package replica

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/memory"
)

// unaccounted is the reservation for memory that the engine uses beyond what
// its models explain.
var unaccounted = memory.Key{}

// observed takes a state of the engine whose read began at begun. Reads and
// submissions must not overlap.
func (m *machine) observed(s engine.State, begun, now time.Time) {
	outcome, ended := m.book.Observe(s, begun)
	m.mirror(s, now)
	m.account(s)
	m.stateRead = true
	if ended {
		m.ended(outcome, nil, now)
	}
	m.step(now)
}

// mirror copies the models and adapters of a state.
func (m *machine) mirror(s engine.State, now time.Time) {
	reported := make(map[ident.Model]engine.ModelState, len(s.Models))
	for _, r := range s.Models {
		reported[r.Model] = r
		m.model(r.Model)
	}
	for name, tier := range s.Tiers {
		m.model(name).tier = tier
	}
	for _, st := range m.models {
		r, ok := reported[st.name]
		if !ok {
			m.vanish(st)
			continue
		}
		if st.phase == "" {
			st.lastUsed = now
		}
		st.phase, st.fence = r.Phase, r.Fence
		st.mirrorAdapters(r.Adapters, now)
	}
}

// vanish records that the engine does not have the model. Its memory stays
// reserved while an open order may still load it.
func (m *machine) vanish(st *modelState) {
	st.phase = ""
	clear(st.adapters)
}

func (st *modelState) mirrorAdapters(names []ident.Adapter, now time.Time) {
	have := make(map[ident.Adapter]bool, len(names))
	for _, a := range names {
		have[a] = true
		if st.adapters[a] == nil {
			st.adapters[a] = &adapterState{lastUsed: now}
		}
	}
	for a := range st.adapters {
		if !have[a] {
			delete(st.adapters, a)
		}
	}
}

// account makes the ledger cover all that the state shows, and frees what it
// shows to be gone unless an open order may still bring it back.
func (m *machine) account(s engine.State) {
	if s.MemoryMB > 0 {
		m.ledger.SetCapacity(min(m.o.memoryMB, s.MemoryMB))
	}
	for _, r := range s.Models {
		m.adopt(r)
	}
	open, isOpen := m.book.InFlight()
	for _, name := range m.ledger.Models() {
		for _, k := range m.ledger.Keys(name) {
			pending := isOpen && open.Model == k.Model && open.Adapter == k.Adapter
			if k != unaccounted && !pending && !m.has(k) {
				m.ledger.Release(k)
			}
		}
	}
	if m.book.Ready() {
		m.ledger.Release(unaccounted)
		m.ledger.RecordUsed(unaccounted, max(s.UsedMB-m.ledger.UsedMB(), 0))
	}
}

func (m *machine) adopt(r engine.ModelState) {
	spec, _ := m.o.spec(r.Model)
	k := memory.Key{Model: r.Model}
	if !m.ledger.Has(k) {
		m.ledger.RecordUsed(k, max(r.MemoryMB, spec.MemoryMB+spec.KVCacheMB))
	}
	for _, a := range r.Adapters {
		k.Adapter = a
		if !m.ledger.Has(k) {
			m.ledger.RecordUsed(k, m.sizeMB(k))
		}
	}
}

// has tells whether the engine has what k names, in whatever phase.
func (m *machine) has(k memory.Key) bool {
	st := m.models[k.Model]
	if st == nil || st.phase == "" {
		return false
	}
	return k.Adapter == "" || st.adapters[k.Adapter] != nil
}

// answered takes the answer to a submitted order. Cause is the refusal or the
// reason for which the answer is lost.
func (m *machine) answered(id string, a inflight.Response, cause error, now time.Time) {
	if outcome, ended := m.book.RecordResponse(id, a, now); ended {
		m.freeRefused(outcome.Order)
		m.ended(outcome, cause, now)
	}
	m.step(now)
}

func (m *machine) freeRefused(o engine.Order) {
	k := memory.Key{Model: o.Model, Adapter: o.Adapter}
	if !m.has(k) {
		m.ledger.Release(k)
	}
}

// ended handles the outcome of an order.
func (m *machine) ended(o inflight.Outcome, cause error, now time.Time) {
	if m.place != nil && m.place.order == o.Order.ID {
		m.closePlace()
	}
	k := memory.Key{Model: o.Order.Model, Adapter: o.Order.Adapter}
	if o.Succeeded {
		delete(m.failures, k)
		return
	}
	m.failures[k] = failure{retryAt: now.Add(m.o.loadRetry), cause: cause}
	if o.Order.Kind == engine.OrderLoad || o.Order.Kind == engine.OrderLoadAdapter {
		m.failWaiters(o.Order, cause)
	}
}

// failWaiters refuses the needs that the failed load was for.
func (m *machine) failWaiters(o engine.Order, cause error) {
	for _, w := range m.waiters {
		if w.need.Model == o.Model && (o.Kind == engine.OrderLoad || w.need.Adapter == o.Adapter) {
			m.refuse(w, &LoadFailedError{Model: w.need.Model, Adapter: w.need.Adapter, RetryAfter: m.o.loadRetry, Err: cause})
		}
	}
	m.sweepWaiters()
}
