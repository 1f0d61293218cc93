package replica

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/memory"
)

// acquire adds a waiter and returns its id. Its wait ends with a resolveWaiter
// action, which may already be queued.
func (m *machine) acquire(n Requirements, now time.Time) uint64 {
	m.waiterSeq++
	id := m.waiterSeq
	w := &waiter{id: id, required: n}
	i, _ := slices.BinarySearchFunc(m.waiters, w, compareWaiters)
	m.waiters = slices.Insert(m.waiters, i, w)
	if !n.Prewarm {
		m.o.policy.Observe(n.Model, now)
	}
	m.step(now)
	return id
}

// cancel removes a waiter and reports whether it was still waiting.
func (m *machine) cancel(id uint64, now time.Time) bool {
	i := slices.IndexFunc(m.waiters, func(w *waiter) bool { return w.id == id })
	if i < 0 {
		return false
	}
	m.waiters = slices.Delete(m.waiters, i, i+1)
	m.step(now)
	return true
}

// released ends a lease on the model and adapter of k.
func (m *machine) released(k memory.Key, now time.Time) {
	st := m.model(k.Model)
	st.leases--
	st.lastUsed = now
	if st.adapterLeases[k.Adapter]--; st.adapterLeases[k.Adapter] == 0 {
		delete(st.adapterLeases, k.Adapter)
	}
	if a := st.adapters[k.Adapter]; a != nil {
		a.lastUsed = now
	}
	m.step(now)
}

// settleWaiters grants or rejects every waiter that can be decided now.
func (m *machine) settleWaiters(now time.Time) {
	for _, w := range m.waiters {
		if err := m.rejection(w, now); err != nil {
			m.reject(w, err)
		} else if m.satisfied(w.required) {
			m.grantLease(w, now)
		}
	}
	m.removeResolved()
}

// rejection returns why the requirements of a waiter cannot be met, or nil.
func (m *machine) rejection(w *waiter, now time.Time) error {
	n := w.required
	if m.draining {
		return &DrainingError{}
	}
	if !n.Deadline.IsZero() && !now.Before(n.Deadline) {
		return &DeadlineError{Model: n.Model, Adapter: n.Adapter, RetryAfter: m.o.retryAfter}
	}
	if !m.configured(n) {
		return &UnknownModelError{Model: n.Model, Adapter: n.Adapter}
	}
	st := m.model(n.Model)
	if st.usableFence() == 0 && (m.allocationsRead || !m.satisfied(n)) {
		return &NoSlotError{Model: n.Model, RetryAfter: m.o.retryAfter}
	}
	if k, ok := m.nextLoad(n); ok && m.inRetryDelay(k, now) {
		f := m.failures[k]
		return &LoadFailedError{Model: n.Model, Adapter: k.Adapter, RetryAfter: f.retryAt.Sub(now), Err: f.cause}
	}
	return nil
}

// inRetryDelay reports whether an order for k has failed too recently to be
// repeated.
func (m *machine) inRetryDelay(k memory.Key, now time.Time) bool {
	return now.Before(m.failures[k].retryAt)
}

func (m *machine) configured(n Requirements) bool {
	k := memory.Key{Model: n.Model, Adapter: n.Adapter}
	_, ok := m.specMB(k)
	return ok
}

// satisfied reports whether the required model and adapter are loaded and no
// order in flight unloads them.
func (m *machine) satisfied(n Requirements) bool {
	st := m.models[n.Model]
	if st == nil || !st.loaded() {
		return false
	}
	if o, ok := m.orderInFlight(engine.OrderUnload, engine.OrderUnloadAdapter); ok && o.Model == n.Model {
		if o.Kind == engine.OrderUnload || o.Adapter == n.Adapter {
			return false
		}
	}
	return n.Adapter == "" || st.adapters[n.Adapter] != nil
}

func (m *machine) grantLease(w *waiter, now time.Time) {
	st := m.model(w.required.Model)
	st.leases++
	st.lastUsed = now
	st.adapterLeases[w.required.Adapter]++
	if a := st.adapters[w.required.Adapter]; a != nil {
		a.lastUsed = now
	}
	m.emit(resolveWaiter{id: w.id})
	w.id = 0
}

func (m *machine) reject(w *waiter, err error) {
	m.emit(resolveWaiter{id: w.id, err: err})
	w.id = 0
}

// removeResolved removes the resolved waiters, whose id is zero.
func (m *machine) removeResolved() {
	m.waiters = slices.DeleteFunc(m.waiters, func(w *waiter) bool { return w.id == 0 })
}

// specMB returns the memory of k according to the configuration document in
// force, in MiB.
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
