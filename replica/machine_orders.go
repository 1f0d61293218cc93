package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
)

// submitNextOrder submits at most one order: first an unload of a model without
// a slot, then a load that a waiter requires, then an unload of a model whose
// keep-alive has ended.
func (m *machine) submitNextOrder(now time.Time) {
	if !m.stateRead || !m.orderTracker.Ready() {
		return
	}
	if m.unloadWithoutSlot(now) || m.loadRequired(now) {
		return
	}
	m.unloadIdle(now)
}

// idle reports whether no request runs on the model.
func (m *machine) idle(s *modelState) bool {
	return s.leases == 0 || m.o.faults.ignoreLeases
}

// unloadWithoutSlot unloads an idle model for which the VM has no usable slot,
// and reports whether it submitted an order.
func (m *machine) unloadWithoutSlot(now time.Time) bool {
	if !m.allocationsRead {
		return false
	}
	for _, s := range m.sorted() {
		if s.loaded() && m.idle(s) && s.usableFence() == 0 && !m.inRetryDelay(memory.Key{Model: s.name}, now) {
			m.submitUnload(s, now)
			return true
		}
	}
	return false
}

// loadRequired takes the next step for the most urgent waiter whose model or
// adapter is not loaded, and reports whether it submitted an order. A waiter
// that waits for memory blocks those after it, which would otherwise use the
// memory that becomes free.
func (m *machine) loadRequired(now time.Time) bool {
	for _, w := range m.waiters {
		k, ok := m.nextLoad(w.required)
		if !ok {
			continue
		}
		required := m.sizeMB(k)
		if required <= m.reservations.FreeMB() || m.reservations.Has(k) || m.o.faults.loadWithoutMemory {
			return m.loadWithPermit(k, w.required.Priority, now)
		}
		if m.evictFor(k, required, w.required.Priority, now) {
			return true
		}
		m.rejectForMemory(w, k, required, now)
		m.removeResolved()
		return false
	}
	return false
}

// nextLoad returns the model or adapter that has to be loaded next for a waiter
// with the given requirements, and false if there is none.
func (m *machine) nextLoad(n Requirements) (memory.Key, bool) {
	st := m.model(n.Model)
	if st.usableFence() == 0 || !m.allocationsRead {
		return memory.Key{}, false
	}
	if st.phase == "" {
		return memory.Key{Model: n.Model}, true
	}
	k := memory.Key{Model: n.Model, Adapter: n.Adapter}
	return k, n.Adapter != "" && st.loaded() && st.adapters[n.Adapter] == nil
}

// loadWithPermit submits the load of k once it has a load permit, and reports
// whether it did.
func (m *machine) loadWithPermit(k memory.Key, p ident.Priority, now time.Time) bool {
	if !m.o.limitLoads {
		m.submitLoad(k, now)
		return true
	}
	if m.permit != nil && m.permit.key == k {
		if m.permit.granted {
			m.submitLoad(k, now)
		}
		return m.permit.granted
	}
	m.dropPermit()
	m.permitSeq++
	m.permit = &permit{id: m.permitSeq, key: k}
	m.emit(requestPermit{id: m.permitSeq, key: k, priority: p})
	return false
}

// permitGranted records that the load permit id was granted, or that the load
// may proceed without one.
func (m *machine) permitGranted(id uint64, now time.Time) {
	if m.permit != nil && m.permit.id == id {
		m.permit.granted = true
	}
	m.step(now)
}

func (m *machine) dropPermit() {
	if m.permit != nil {
		m.emit(releasePermit{id: m.permit.id})
		m.permit = nil
	}
}

// dropUnneededPermit returns a load permit that no waiter requires any more.
func (m *machine) dropUnneededPermit() {
	if m.permit == nil || m.permit.orderID != "" {
		return
	}
	needed := slices.ContainsFunc(m.waiters, func(w *waiter) bool {
		k, ok := m.nextLoad(w.required)
		return ok && k == m.permit.key
	})
	if !needed {
		m.dropPermit()
	}
}

// submitLoad reserves the memory of k and submits the order to load it.
func (m *machine) submitLoad(k memory.Key, now time.Time) {
	mb := m.sizeMB(k)
	if err := m.reservations.Reserve(k, mb); err != nil && !m.o.faults.loadWithoutMemory {
		return
	}
	kind := engine.OrderLoad
	if k.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	id := m.submit(engine.Order{Kind: kind, Model: k.Model, Adapter: k.Adapter, Fence: m.model(k.Model).usableFence(), MemoryMB: mb}, now)
	if m.permit != nil {
		m.permit.orderID = id
	}
}

func (m *machine) submitUnload(s *modelState, now time.Time) {
	m.submit(engine.Order{Kind: engine.OrderUnload, Model: s.name, Fence: s.unloadFence()}, now)
}

func (m *machine) submit(o engine.Order, now time.Time) string {
	m.orderSeq++
	o.ID = fmt.Sprintf("%x-%d", uint64(m.o.incarnation), m.orderSeq)
	if err := m.orderTracker.Begin(o, now); err == nil {
		m.emit(submitOrder{order: o})
	}
	return o.ID
}

// evictFor submits an unload of one idle model or adapter if that, together
// with further unloads, makes requiredMB MiB available. It reports whether it
// did.
func (m *machine) evictFor(k memory.Key, requiredMB int64, p ident.Priority, now time.Time) bool {
	models := m.evictableModels(k.Model, p, now)
	adapters := m.evictableAdapters(p, now)
	availableMB := m.reservations.FreeMB()
	for _, s := range models {
		availableMB += m.reservedMB(s.name)
	}
	for _, a := range adapters {
		availableMB += m.sizeMB(a)
	}
	if availableMB < requiredMB {
		return false
	}
	if len(adapters) > 0 && (k.Adapter != "" || len(models) == 0) {
		m.submitUnloadAdapter(adapters[0], now)
		return true
	}
	if len(models) == 0 {
		return false
	}
	m.submitUnload(models[0], now)
	return true
}

func (m *machine) submitUnloadAdapter(k memory.Key, now time.Time) {
	fence := m.model(k.Model).unloadFence()
	m.submit(engine.Order{Kind: engine.OrderUnloadAdapter, Model: k.Model, Adapter: k.Adapter, Fence: fence}, now)
}

// evictable reports whether a loaded model is idle and no waiter of priority p
// or a more urgent one requires it.
func (m *machine) evictable(s *modelState, p ident.Priority) bool {
	return s.loaded() && m.idle(s) && !m.awaited(s.name, p)
}

// evictableModels returns the evictable models other than except in the order
// of the policy, without those whose unload has just failed.
func (m *machine) evictableModels(except ident.Model, p ident.Priority, now time.Time) []*modelState {
	var idle []ident.Model
	for _, s := range m.sorted() {
		if s.name != except && m.evictable(s, p) && !m.inRetryDelay(memory.Key{Model: s.name}, now) {
			idle = append(idle, s.name)
		}
	}
	var states []*modelState
	for _, name := range m.o.policy.EvictOrder(idle, now) {
		states = append(states, m.model(name))
	}
	return states
}

// evictableAdapters returns the idle adapters of models that are not evictable,
// the least recently used first.
func (m *machine) evictableAdapters(p ident.Priority, now time.Time) []memory.Key {
	var keys []memory.Key
	for _, s := range m.sorted() {
		if !s.loaded() || m.evictable(s, p) {
			continue
		}
		for name := range s.adapters {
			k := memory.Key{Model: s.name, Adapter: name}
			if s.adapterLeases[name] == 0 && !m.adapterAwaited(s.name, name, p) && !m.inRetryDelay(k, now) {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, m.compareAdapterUse)
	return keys
}

func (m *machine) compareAdapterUse(a, b memory.Key) int {
	x, y := m.model(a.Model).adapters[a.Adapter], m.model(b.Model).adapters[b.Adapter]
	if c := x.lastUsed.Compare(y.lastUsed); c != 0 {
		return c
	}
	return compareKeys(a, b)
}

func (m *machine) awaited(name ident.Model, p ident.Priority) bool {
	return slices.ContainsFunc(m.waiters, func(w *waiter) bool {
		return w.required.Model == name && w.required.Priority <= p
	})
}

func (m *machine) adapterAwaited(name ident.Model, a ident.Adapter, p ident.Priority) bool {
	return slices.ContainsFunc(m.waiters, func(w *waiter) bool {
		return w.required.Model == name && w.required.Adapter == a && w.required.Priority <= p
	})
}

// reservedMB returns the memory that unloading a model frees, in MiB.
func (m *machine) reservedMB(name ident.Model) int64 {
	var sum int64
	for _, k := range m.reservations.Keys(name) {
		sum += m.reservations.ReservedMB(k)
	}
	return sum
}

// rejectForMemory rejects a waiter whose load can never fit into memory, or
// that has waited for running requests to end for longer than the memory wait.
func (m *machine) rejectForMemory(w *waiter, k memory.Key, required int64, now time.Time) {
	if w.blockedSince.IsZero() {
		w.blockedSince = now
	}
	if required <= m.reservations.CapacityMB() && now.Before(w.blockedSince.Add(m.o.memoryWait)) {
		return
	}
	m.reject(w, &NoMemoryError{Model: w.required.Model, Adapter: k.Adapter, NeedMB: required, FreeMB: m.reservations.FreeMB(), RetryAfter: m.o.retryAfter})
}

// unloadIdle unloads a model whose keep-alive has ended.
func (m *machine) unloadIdle(now time.Time) {
	for _, s := range m.sorted() {
		if !s.loaded() || !m.idle(s) || m.inRetryDelay(memory.Key{Model: s.name}, now) || m.awaitedByAny(s.name) {
			continue
		}
		if !now.Before(m.o.policy.KeepUntil(s.name, s.lastUsed)) {
			m.submitUnload(s, now)
			return
		}
	}
}

func (m *machine) awaitedByAny(name ident.Model) bool {
	return slices.ContainsFunc(m.waiters, func(w *waiter) bool { return w.required.Model == name })
}
