package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

const (
	// askPause is the time between two requests for a place at the weight store of
	// which the first was in vain.
	askPause = 500 * time.Millisecond
	// adapterTime is how long the load of an adapter takes, about.
	adapterTime = 15 * time.Millisecond
	// aheadPriority is that of loads for which no request waits: the last.
	aheadPriority = 9
)

// plan returns the next order, if one may be given, and the next request for a
// place at the weight store.
func (m *Machine) plan(now time.Time) []Action {
	if !m.mayOrder || !m.sees(now) || m.snap.Leaving {
		return nil
	}
	out := m.askFetch(now)
	if m.order != nil || m.snap.Busy || now.Before(m.nextOrder) {
		return out
	}
	s := m.adapterOrder(now)
	if s == nil {
		s = m.modelOrder(now)
	}
	if s == nil {
		return out
	}
	s.After = m.snap.Accepted
	m.order = &openOrder{Submit: *s, at: now, expected: m.expected(s)}
	return append(out, s)
}

func (m *Machine) expected(s *Submit) time.Duration {
	switch s.Kind {
	case engine.OrderLoad:
		return m.spec.Model(s.Model).LoadTime(m.tier(s.Model))
	case engine.OrderUnload:
		if m.model(s.Model).active > 0 {
			return m.runTime
		}
		return swapOverhead / 2
	}
	return adapterTime
}

// adapterOrder brings an adapter that a request waits for, whose model is loaded.
func (m *Machine) adapterOrder(now time.Time) *Submit {
	for _, p := range m.requests {
		adapters, loaded := m.snap.Loaded[p.Model]
		if p.holds() || p.Adapter == "" || !loaded || slices.Contains(adapters, p.Adapter) || !m.hasRoom(p) {
			continue
		}
		if slices.Contains(m.snap.Arriving, AdapterRef{p.Model, p.Adapter}) {
			continue
		}
		if m.adapterFits(p.Model) {
			return &Submit{Kind: engine.OrderLoadAdapter, Model: p.Model, Adapter: p.Adapter, Why: "a request waits for the adapter"}
		}
		if ref, ok := m.idleAdapter(); ok {
			return &Submit{Kind: engine.OrderUnloadAdapter, Model: ref.Model, Adapter: ref.Adapter, Why: "room for another adapter"}
		}
	}
	return nil
}

// adapterFits tells whether one more adapter of a model finds a slot and memory.
func (m *Machine) adapterFits(name ident.Model) bool {
	slots := len(m.snap.Arriving)
	for _, as := range m.snap.Loaded {
		slots += len(as)
	}
	return slots < m.spec.AdapterSlots && m.usedMB()+m.spec.Model(name).AdapterMB <= m.spec.MemoryMB
}

// idleAdapter is the one that was used least recently.
func (m *Machine) idleAdapter() (AdapterRef, bool) {
	var (
		best  AdapterRef
		at    time.Time
		found bool
	)
	for name, adapters := range m.snap.Loaded {
		for _, a := range adapters {
			st := m.model(name).adapter(a)
			if st.active > 0 || m.waitsFor(name, a) {
				continue
			}
			if !found || st.lastUsed.Before(at) {
				best, at, found = AdapterRef{name, a}, st.lastUsed, true
			}
		}
	}
	return best, found
}

func (m *Machine) waitsFor(name ident.Model, a ident.Adapter) bool {
	return slices.ContainsFunc(m.requests, func(p *pending) bool {
		return !p.holds() && p.Model == name && (a == "" || p.Adapter == a)
	})
}

// modelOrder brings the model that is due first, or makes room for it.
func (m *Machine) modelOrder(now time.Time) *Submit {
	for _, name := range m.wanted(now) {
		if s := m.bring(now, name, "requests wait for the model"); s != nil {
			return s
		}
	}
	if m.fetch != nil && m.fetch.granted {
		return m.bring(now, m.fetch.Model, "loaded ahead of requests")
	}
	return nil
}

// bring loads a model if there is memory, and makes room otherwise.
func (m *Machine) bring(now time.Time, name ident.Model, why string) *Submit {
	if _, loaded := m.snap.Loaded[name]; loaded {
		if m.mayFetch(name) {
			m.fetch = nil
		}
		return nil
	}
	if m.hasMemory(name) {
		return &Submit{Kind: engine.OrderLoad, Model: name, Why: why}
	}
	if v := m.victim(now, name); v != "" {
		return &Submit{Kind: engine.OrderUnload, Model: v, Why: "room for " + string(name)}
	}
	return nil
}

// usedMB is the memory of all that is loaded or on its way.
func (m *Machine) usedMB() float64 {
	used := 0.0
	for name, adapters := range m.snap.Loaded {
		if spec := m.spec.Model(name); spec != nil {
			used += spec.MemoryMB + float64(len(adapters))*spec.AdapterMB
		} else {
			// A model that is configured no more may be of any size.
			used += m.spec.MemoryMB
		}
	}
	for _, ref := range m.snap.Arriving {
		if spec := m.spec.Model(ref.Model); spec != nil {
			used += spec.AdapterMB
		}
	}
	return used
}

// hasMemory tells whether a model fits beside all that is loaded.
func (m *Machine) hasMemory(name ident.Model) bool {
	return m.usedMB()+m.spec.Model(name).MemoryMB <= m.spec.MemoryMB
}

// victim is the idle model that is asked for least, or empty. A model is not
// given up for one that is asked for less, unless requests wait for that.
func (m *Machine) victim(now time.Time, for_ ident.Model) ident.Model {
	var (
		best  ident.Model
		least float64
	)
	for name := range m.snap.Loaded {
		st := m.model(name)
		if st.active > 0 || m.waitsFor(name, "") || name == for_ {
			continue
		}
		if !now.IsZero() && now.Sub(st.loadedAt) < m.opts.SettleTime {
			continue
		}
		at := now
		if at.IsZero() {
			at = st.asked.Last()
		}
		score := st.asked.Get(at, m.opts.RateHalfLife)
		if best == "" || score < least || score == least && name < best {
			best, least = name, score
		}
	}
	return best
}

// askFetch asks for a place at the weight store: for the model that requests
// wait for first, or ahead of any request while nothing else is to be done.
func (m *Machine) askFetch(now time.Time) []Action {
	if m.fetch != nil || now.Before(m.nextAsk) || m.order != nil && m.order.loads() {
		return nil
	}
	f := Fetch{Priority: aheadPriority}
	for _, p := range m.requests {
		_, loaded := m.snap.Loaded[p.Model]
		if !p.holds() && !loaded && m.tier(p.Model) == engine.TierRemote {
			f = Fetch{Model: p.Model, Priority: p.Priority, Within: p.expires().Sub(now)}
			break
		}
	}
	if f.Model == "" {
		f.Model = m.wishedRemote(now)
	}
	if f.Model == "" && len(m.wanted(now)) > 0 {
		return nil
	}
	m.fetch = &fetchState{Fetch: f}
	return []Action{&f}
}
