package replica

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/memory"
)

// acquire adds a need and returns its id. Its end is a resolveWaiter action,
// which may be queued already.
func (m *machine) acquire(n Requirements, now time.Time) uint64 {
	m.waiterSeq++
	id := m.waiterSeq
	w := &waiter{id: id, need: n}
	i, _ := slices.BinarySearchFunc(m.waiters, w, compareWaiters)
	m.waiters = slices.Insert(m.waiters, i, w)
	if !n.Prewarm {
		m.o.policy.Observe(n.Model, now)
	}
	m.step(now)
	return id
}

// cancel withdraws a need and tells whether it was still waiting.
func (m *machine) cancel(id uint64, now time.Time) bool {
	i := slices.IndexFunc(m.waiters, func(w *waiter) bool { return w.id == id })
	if i < 0 {
		return false
	}
	m.waiters = slices.Delete(m.waiters, i, i+1)
	m.step(now)
	return true
}

// released ends a lease on what k names.
func (m *machine) released(k memory.Key, now time.Time) {
	st := m.model(k.Model)
	st.running--
	st.lastUsed = now
	if st.adapterRuns[k.Adapter]--; st.adapterRuns[k.Adapter] == 0 {
		delete(st.adapterRuns, k.Adapter)
	}
	if a := st.adapters[k.Adapter]; a != nil {
		a.lastUsed = now
	}
	m.step(now)
}

// settleWaiters grants and refuses every need that can be decided now.
func (m *machine) settleWaiters(now time.Time) {
	for _, w := range m.waiters {
		if err := m.objection(w, now); err != nil {
			m.refuse(w, err)
		} else if m.servable(w.need) {
			m.grantLease(w, now)
		}
	}
	m.sweepWaiters()
}

// objection returns why a need can't be met, or nil.
func (m *machine) objection(w *waiter, now time.Time) error {
	n := w.need
	if m.draining {
		return &DrainingError{}
	}
	if !n.Deadline.IsZero() && !now.Before(n.Deadline) {
		return &DeadlineError{Model: n.Model, Adapter: n.Adapter, RetryAfter: m.o.retryAfter}
	}
	if !m.known(n) {
		return &UnknownModelError{Model: n.Model, Adapter: n.Adapter}
	}
	st := m.model(n.Model)
	if st.right() == 0 && (m.grantsRead || !m.servable(n)) {
		return &NoSlotError{Model: n.Model, RetryAfter: m.o.retryAfter}
	}
	if k, ok := m.missing(n); ok && m.failing(k, now) {
		f := m.failures[k]
		return &LoadFailedError{Model: n.Model, Adapter: k.Adapter, RetryAfter: f.retryAt.Sub(now), Err: f.cause}
	}
	return nil
}

// failing tells whether an order about k has failed too recently to be
// repeated.
func (m *machine) failing(k memory.Key, now time.Time) bool {
	return now.Before(m.failures[k].retryAt)
}

func (m *machine) known(n Requirements) bool {
	k := memory.Key{Model: n.Model, Adapter: n.Adapter}
	_, ok := m.specMB(k)
	return ok
}

// servable tells whether the need's model and adapter are loaded and no order
// is under way that takes them away.
func (m *machine) servable(n Requirements) bool {
	st := m.models[n.Model]
	if st == nil || !st.loaded() {
		return false
	}
	if o, ok := m.openOrder(engine.OrderUnload, engine.OrderUnloadAdapter); ok && o.Model == n.Model {
		if o.Kind == engine.OrderUnload || o.Adapter == n.Adapter {
			return false
		}
	}
	return n.Adapter == "" || st.adapters[n.Adapter] != nil
}

func (m *machine) grantLease(w *waiter, now time.Time) {
	st := m.model(w.need.Model)
	st.running++
	st.lastUsed = now
	st.adapterRuns[w.need.Adapter]++
	if a := st.adapters[w.need.Adapter]; a != nil {
		a.lastUsed = now
	}
	m.emit(resolveWaiter{id: w.id})
	w.id = 0
}

func (m *machine) refuse(w *waiter, err error) {
	m.emit(resolveWaiter{id: w.id, err: err})
	w.id = 0
}

// sweepWaiters drops the resolved needs, whose id is zero.
func (m *machine) sweepWaiters() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool { return w.id == 0 })
}

// specMB returns the memory of k by the document in force, in MiB.
func (m *machine) specMB(k memory.Key) (int64, bool) {
	spec, ok := m.o.spec(k.Model)
	if !ok {
		return 0, false
	}
	if k.Adapter == "" {
		return spec.MemoryMB + spec.KVCacheMB, true
	}
	for _, a := range spec.Adapters {
		if a.Name == k.Adapter {
			return a.MemoryMB, true
		}
	}
	return 0, false
}

func (m *machine) sizeMB(k memory.Key) int64 {
	mb, _ := m.specMB(k)
	return mb
}
