package replica

import (
	"fmt"
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
)

// nextOrder submits at most one order: first what has to go, then what is
// needed, then what is no longer worth keeping.
func (m *machine) nextOrder(now time.Time) {
	if !m.stateRead || !m.book.Ready() {
		return
	}
	if m.unloadRightless(now) || m.loadNeeded(now) {
		return
	}
	m.unloadIdle(now)
}

// idle tells whether no request runs on the model.
func (m *machine) idle(s *modelState) bool {
	return s.running == 0 || m.o.flaws.cutRequests
}

// unloadRightless unloads an idle model that may not stay.
func (m *machine) unloadRightless(now time.Time) bool {
	if !m.grantsRead {
		return false
	}
	for _, s := range m.sorted() {
		if s.loaded() && m.idle(s) && s.right() == 0 && !m.failing(memory.Key{Model: s.name}, now) {
			m.submitUnload(s, now)
			return true
		}
	}
	return false
}

// loadNeeded takes the most urgent need that is not loaded a step further. A
// need that waits for memory holds back those after it, which would otherwise
// take what it waits for.
func (m *machine) loadNeeded(now time.Time) bool {
	for _, w := range m.waiters {
		k, ok := m.missing(w.need)
		if !ok {
			continue
		}
		need := m.sizeMB(k)
		if need <= m.ledger.FreeMB() || m.ledger.Has(k) || m.o.flaws.loadFirst {
			return m.loadThroughGate(k, w.need.Priority, now)
		}
		if m.evictFor(k, need, w.need.Priority, now) {
			return true
		}
		m.lackMemory(w, k, need, now)
		m.sweepWaiters()
		return false
	}
	return false
}

// missing returns what has to be loaded next for a need, if anything.
func (m *machine) missing(n Requirements) (memory.Key, bool) {
	st := m.model(n.Model)
	if st.right() == 0 || !m.grantsRead {
		return memory.Key{}, false
	}
	if st.phase == "" {
		return memory.Key{Model: n.Model}, true
	}
	k := memory.Key{Model: n.Model, Adapter: n.Adapter}
	return k, n.Adapter != "" && st.loaded() && st.adapters[n.Adapter] == nil
}

// loadThroughGate submits the load of k once it has a place at the weight
// store, and returns whether it did.
func (m *machine) loadThroughGate(k memory.Key, p ident.Priority, now time.Time) bool {
	if !m.o.gated {
		m.submitLoad(k, now)
		return true
	}
	if m.place != nil && m.place.key == k {
		if m.place.open {
			m.submitLoad(k, now)
		}
		return m.place.open
	}
	m.closePlace()
	m.placeSeq++
	m.place = &place{id: m.placeSeq, key: k}
	m.emit(openGate{id: m.placeSeq, key: k, priority: p})
	return false
}

// gateOpened tells that the place id is granted, or may be done without.
func (m *machine) gateOpened(id uint64, now time.Time) {
	if m.place != nil && m.place.id == id {
		m.place.open = true
	}
	m.step(now)
}

func (m *machine) closePlace() {
	if m.place != nil {
		m.emit(closeGate{id: m.place.id})
		m.place = nil
	}
}

// dropStalePlace gives a place back that no need wants any more.
func (m *machine) dropStalePlace() {
	if m.place == nil || m.place.order != "" {
		return
	}
	wanted := slices.ContainsFunc(m.waiters, func(w *waiter) bool {
		k, ok := m.missing(w.need)
		return ok && k == m.place.key
	})
	if !wanted {
		m.closePlace()
	}
}

// submitLoad reserves the memory of k and orders its load.
func (m *machine) submitLoad(k memory.Key, now time.Time) {
	mb := m.sizeMB(k)
	if err := m.ledger.Reserve(k, mb); err != nil && !m.o.flaws.loadFirst {
		return
	}
	kind := engine.OrderLoad
	if k.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	id := m.submit(engine.Order{Kind: kind, Model: k.Model, Adapter: k.Adapter, Fence: m.model(k.Model).right(), MemoryMB: mb}, now)
	if m.place != nil {
		m.place.order = id
	}
}

func (m *machine) submitUnload(s *modelState, now time.Time) {
	m.submit(engine.Order{Kind: engine.OrderUnload, Model: s.name, Fence: s.unloadFence()}, now)
}

func (m *machine) submit(o engine.Order, now time.Time) string {
	m.orderSeq++
	o.ID = fmt.Sprintf("%x-%d", uint64(m.o.incarnation), m.orderSeq)
	if err := m.book.Begin(o, now); err == nil {
		m.emit(submitOrder{order: o})
	}
	return o.ID
}

// evictFor unloads one idle model or adapter if that, with others, makes room
// for need MiB, and returns whether it did.
func (m *machine) evictFor(k memory.Key, need int64, p ident.Priority, now time.Time) bool {
	models := m.evictableModels(k.Model, p, now)
	adapters := m.evictableAdapters(p, now)
	room := m.ledger.FreeMB()
	for _, s := range models {
		room += m.heldMB(s.name)
	}
	for _, a := range adapters {
		room += m.sizeMB(a)
	}
	if room < need {
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

// evictable tells whether a loaded model is idle and no need of priority p or a
// more urgent one waits for it.
func (m *machine) evictable(s *modelState, p ident.Priority) bool {
	return s.loaded() && m.idle(s) && !m.wanted(s.name, p)
}

// evictableModels returns the evictable models other than except in the policy's
// order, without those whose unload has just failed.
func (m *machine) evictableModels(except ident.Model, p ident.Priority, now time.Time) []*modelState {
	var idle []ident.Model
	for _, s := range m.sorted() {
		if s.name != except && m.evictable(s, p) && !m.failing(memory.Key{Model: s.name}, now) {
			idle = append(idle, s.name)
		}
	}
	var states []*modelState
	for _, name := range m.o.policy.EvictOrder(idle, now) {
		states = append(states, m.model(name))
	}
	return states
}

// evictableAdapters returns the idle adapters of models that stay, the least
// recently used first.
func (m *machine) evictableAdapters(p ident.Priority, now time.Time) []memory.Key {
	var keys []memory.Key
	for _, s := range m.sorted() {
		if !s.loaded() || m.evictable(s, p) {
			continue
		}
		for name := range s.adapters {
			k := memory.Key{Model: s.name, Adapter: name}
			if s.adapterRuns[name] == 0 && !m.adapterWanted(s.name, name, p) && !m.failing(k, now) {
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

func (m *machine) wanted(name ident.Model, p ident.Priority) bool {
	return slices.ContainsFunc(m.waiters, func(w *waiter) bool {
		return w.need.Model == name && w.need.Priority <= p
	})
}

func (m *machine) adapterWanted(name ident.Model, a ident.Adapter, p ident.Priority) bool {
	return slices.ContainsFunc(m.waiters, func(w *waiter) bool {
		return w.need.Model == name && w.need.Adapter == a && w.need.Priority <= p
	})
}

// heldMB returns the memory that unloading a model frees, in MiB.
func (m *machine) heldMB(name ident.Model) int64 {
	var sum int64
	for _, k := range m.ledger.Keys(name) {
		sum += m.ledger.ReservedMB(k)
	}
	return sum
}

// lackMemory refuses a need that can never fit, or that has waited long enough
// for running requests to end.
func (m *machine) lackMemory(w *waiter, k memory.Key, need int64, now time.Time) {
	if w.blocked.IsZero() {
		w.blocked = now
	}
	if need <= m.ledger.CapacityMB() && now.Before(w.blocked.Add(m.o.memoryWait)) {
		return
	}
	m.refuse(w, &NoMemoryError{Model: w.need.Model, Adapter: k.Adapter, NeedMB: need, FreeMB: m.ledger.FreeMB(), RetryAfter: m.o.retryAfter})
}

// unloadIdle unloads a model whose keep-alive has ended.
func (m *machine) unloadIdle(now time.Time) {
	for _, s := range m.sorted() {
		if !s.loaded() || !m.idle(s) || m.failing(memory.Key{Model: s.name}, now) || m.wantedByAny(s.name) {
			continue
		}
		if !now.Before(m.o.policy.KeepUntil(s.name, s.lastUsed)) {
			m.submitUnload(s, now)
			return
		}
	}
}

func (m *machine) wantedByAny(name ident.Model) bool {
	return slices.ContainsFunc(m.waiters, func(w *waiter) bool { return w.need.Model == name })
}
