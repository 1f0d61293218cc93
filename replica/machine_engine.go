package replica

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/memory"
)

// unaccounted is the reservation for memory that the engine uses in addition to
// that of its models.
var unaccounted = memory.Key{}

// handleState handles an engine state whose read began at readStart. Reads and
// submissions must not overlap.
func (m *machine) handleState(s engine.State, readStart, now time.Time) {
	outcome, ended := m.orderTracker.Observe(s, readStart)
	m.applyState(s, now)
	m.reconcileMemory(s)
	m.stateRead = true
	if ended {
		m.ended(outcome, nil, now)
	}
	m.step(now)
}

// applyState copies the models and adapters of an engine state.
func (m *machine) applyState(s engine.State, now time.Time) {
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
			m.markAbsent(st)
			continue
		}
		if st.phase == "" {
			st.lastUsed = now
		}
		st.phase, st.loadedFence = r.Phase, r.Fence
		st.applyAdapters(r.Adapters, now)
	}
}

// markAbsent records that the engine does not have the model. Its memory
// remains reserved while an order in flight may still load it.
func (m *machine) markAbsent(st *modelState) {
	st.phase = ""
	clear(st.adapters)
}

func (s *modelState) applyAdapters(names []ident.Adapter, now time.Time) {
	have := make(map[ident.Adapter]bool, len(names))
	for _, a := range names {
		have[a] = true
		if s.adapters[a] == nil {
			s.adapters[a] = &adapterState{lastUsed: now}
		}
	}
	for a := range s.adapters {
		if !have[a] {
			delete(s.adapters, a)
		}
	}
}

// reconcileMemory reserves the memory of all models and adapters in the engine
// state, and releases that of others unless an order in flight may still load
// them.
func (m *machine) reconcileMemory(s engine.State) {
	if s.MemoryMB > 0 {
		m.reservations.SetCapacity(min(m.o.memoryMB, s.MemoryMB))
	}
	for _, r := range s.Models {
		m.recordModel(r)
	}
	order, inFlight := m.orderTracker.InFlight()
	for _, name := range m.reservations.Models() {
		for _, k := range m.reservations.Keys(name) {
			pending := inFlight && order.Model == k.Model && order.Adapter == k.Adapter
			if k != unaccounted && !pending && !m.present(k) {
				m.reservations.Release(k)
			}
		}
	}
	if m.orderTracker.Ready() {
		m.reservations.Release(unaccounted)
		m.reservations.RecordUsed(unaccounted, max(s.UsedMB-m.reservations.UsedMB(), 0))
	}
}

func (m *machine) recordModel(r engine.ModelState) {
	spec, _ := m.o.spec(r.Model)
	k := memory.Key{Model: r.Model}
	if !m.reservations.Has(k) {
		m.reservations.RecordUsed(k, max(r.MemoryMB, spec.MemoryMB+spec.KVCacheMB))
	}
	for _, a := range r.Adapters {
		k.Adapter = a
		if !m.reservations.Has(k) {
			m.reservations.RecordUsed(k, m.sizeMB(k))
		}
	}
}

// present reports whether the engine has the model or adapter of k, in any
// phase.
func (m *machine) present(k memory.Key) bool {
	st := m.models[k.Model]
	if st == nil || st.phase == "" {
		return false
	}
	return k.Adapter == "" || st.adapters[k.Adapter] != nil
}

// handleResponse handles the result of submitting an order. cause is the
// rejection, or the error because of which there was no response.
func (m *machine) handleResponse(id string, response inflight.Response, cause error, now time.Time) {
	if outcome, ended := m.orderTracker.RecordResponse(id, response, now); ended {
		m.releaseRejected(outcome.Order)
		m.ended(outcome, cause, now)
	}
	m.step(now)
}

func (m *machine) releaseRejected(o engine.Order) {
	k := memory.Key{Model: o.Model, Adapter: o.Adapter}
	if !m.present(k) {
		m.reservations.Release(k)
	}
}

// ended handles the outcome of an order.
func (m *machine) ended(o inflight.Outcome, cause error, now time.Time) {
	if m.permit != nil && m.permit.orderID == o.Order.ID {
		m.dropPermit()
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

// failWaiters rejects the waiters for which the failed load was submitted.
func (m *machine) failWaiters(o engine.Order, cause error) {
	for _, w := range m.waiters {
		if w.required.Model == o.Model && (o.Kind == engine.OrderLoad || w.required.Adapter == o.Adapter) {
			m.reject(w, &LoadFailedError{Model: w.required.Model, Adapter: w.required.Adapter, RetryAfter: m.o.loadRetry, Err: cause})
		}
	}
	m.removeResolved()
}
