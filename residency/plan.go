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
func (m *Scheduler) plan(now time.Time) []Action {
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
	s.ExpectedAccepted = m.snap.Accepted
	m.order = &openOrder{Submit: *s, at: now, expected: m.expected(s)}
	return append(out, s)
}

func (m *Scheduler) expected(s *Submit) time.Duration {
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
func (m *Scheduler) adapterOrder(now time.Time) *Submit {
	for _, p := range m.requests {
		adapters, loaded := m.snap.Loaded[p.Model]
		if p.holds() || p.Adapter == "" || !loaded || slices.Contains(adapters, p.Adapter) || !m.hasRoom(p) {
			continue
		}
		if slices.Contains(m.snap.LoadingAdapters, AdapterRef{p.Model, p.Adapter}) {
			continue
		}
		if m.adapterFits(p.Model) {
			return &Submit{Kind: engine.OrderLoadAdapter, Model: p.Model, Adapter: p.Adapter, Purpose: "a request waits for the adapter"}
		}
		if ref, ok := m.idleAdapter(); ok {
			return &Submit{Kind: engine.OrderUnloadAdapter, Model: ref.Model, Adapter: ref.Adapter, Purpose: "room for another adapter"}
		}
	}
	return nil
}

// adapterFits tells whether one more adapter of a model finds a slot and memory.
func (m *Scheduler) adapterFits(name ident.Model) bool {
	slots := len(m.snap.LoadingAdapters)
	for _, as := range m.snap.Loaded {
		slots += len(as)
	}
	return slots < m.spec.AdapterSlots && m.usedMB()+m.spec.Model(name).AdapterMB <= m.spec.MemoryMB
}

// idleAdapter is the one that was used least recently.
func (m *Scheduler) idleAdapter() (AdapterRef, bool) {
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

func (m *Scheduler) waitsFor(name ident.Model, a ident.Adapter) bool {
	return slices.ContainsFunc(m.requests, func(p *pending) bool {
		return !p.holds() && p.Model == name && (a == "" || p.Adapter == a)
	})
}

// modelOrder brings the model that is due first, or makes room for it. A load from
// the weight store that has its place comes after those at hand, since it keeps the
// engine from all others for seconds, unless it is asked for much more.
func (m *Scheduler) modelOrder(now time.Time) *Submit {
	wanted := m.wanted(now)
	if len(wanted) > 0 && m.pressed(now, wanted[0]) {
		if s := m.bring(now, m.fetch.Model, "it is asked for most and has its place at the weight store"); s != nil {
			return s
		}
	}
	for _, name := range wanted {
		if s := m.bring(now, name, "requests wait for the model"); s != nil {
			return s
		}
	}
	if m.fetch.held() {
		return m.bring(now, m.fetch.Model, "it has its place at the weight store")
	}
	return nil
}

// pressed tells whether the model that has its place at the weight store comes
// before the next swap. It answers demand that moves to a model without a copy:
// a swap serves one rare request, the load all that are refused meanwhile.
func (m *Scheduler) pressed(now time.Time, next ident.Model) bool {
	return m.fetch.held() && m.fetch.Model != next &&
		m.model(m.fetch.Model).asked.Get(now, m.opts.RateHalfLife) > outweighFactor*m.model(next).asked.Get(now, m.opts.RateHalfLife)
}

// bring loads a model if there is memory, and makes room otherwise.
func (m *Scheduler) bring(now time.Time, name ident.Model, why string) *Submit {
	if _, loaded := m.snap.Loaded[name]; loaded {
		if m.mayFetch(name) {
			m.fetch = nil
		}
		return nil
	}
	if m.hasMemory(name) {
		return &Submit{Kind: engine.OrderLoad, Model: name, Purpose: why}
	}
	v := m.victim(now, name)
	if v == "" && m.mayFetch(name) {
		v = m.outweighed(now, name)
	}
	if v != "" {
		return &Submit{Kind: engine.OrderUnload, Model: v, Purpose: "room for " + string(name)}
	}
	return nil
}

// usedMB is the memory of all that is loaded or on its way.
func (m *Scheduler) usedMB() float64 {
	used := 0.0
	for name, adapters := range m.snap.Loaded {
		if spec := m.spec.Model(name); spec != nil {
			used += spec.MemoryMB + float64(len(adapters))*spec.AdapterMB
		} else {
			// A model that is configured no more may be of any size.
			used += m.spec.MemoryMB
		}
	}
	for _, ref := range m.snap.LoadingAdapters {
		if spec := m.spec.Model(ref.Model); spec != nil {
			used += spec.AdapterMB
		}
	}
	return used
}

// hasMemory tells whether a model fits beside all that is loaded.
func (m *Scheduler) hasMemory(name ident.Model) bool {
	return m.usedMB()+m.spec.Model(name).MemoryMB <= m.spec.MemoryMB
}

// victim is the idle model to give up, or empty: first one whose weights stay at
// hand, and of those the one that is asked for least.
func (m *Scheduler) victim(now time.Time, for_ ident.Model) ident.Model {
	return m.least(now, for_, func(st *modelState) bool { return st.active == 0 })
}

// outweighed is a model in use that is asked for much less than another, or
// empty. The engine ends its requests before it drops it.
func (m *Scheduler) outweighed(now time.Time, by ident.Model) ident.Model {
	most := m.model(by).asked.Get(now, m.opts.RateHalfLife) / outweighFactor
	return m.least(now, by, func(st *modelState) bool { return st.asked.Get(now, m.opts.RateHalfLife) < most })
}

// outweighFactor is how many times more a model must be asked for than one in use
// that makes way for it; an unload waits for the requests that run.
const outweighFactor = 3

// least is the model to give up first among those that may be.
func (m *Scheduler) least(now time.Time, for_ ident.Model, may func(*modelState) bool) ident.Model {
	var (
		best  ident.Model
		least float64
	)
	for name := range m.snap.Loaded {
		st := m.model(name)
		if name == for_ || !may(st) || m.waitsFor(name, "") || now.Sub(st.loadedAt) < m.opts.SettleTime {
			continue
		}
		score := st.asked.Get(now, m.opts.RateHalfLife)
		if m.tier(name) == engine.TierRemote {
			score += noCopyScore
		}
		if best == "" || score < least || score == least && name < best {
			best, least = name, score
		}
	}
	return best
}

// noCopyScore puts models that would have to come from the weight store again
// behind all others; it is more than any model is asked for.
const noCopyScore = 1e6

// askFetch asks for a place at the weight store: for the model that requests
// wait for first, or will come back for, or ahead of any request while nothing
// else is to be done. The last gives way to the others.
func (m *Scheduler) askFetch(now time.Time) []Action {
	if m.order != nil && m.order.loads() {
		return nil
	}
	f := m.neededFetch(now)
	open := m.fetch != nil
	switch {
	case open && (m.fetch.granted || m.fetch.Model != "" || f.Model == ""):
		return nil
	case !open && now.Before(m.nextAsk):
		return nil
	case f.Model == "" && len(m.wanted(now)) > 0:
		return nil
	}
	m.fetchID++
	f.ID = m.fetchID
	m.fetch = &fetchState{PermitRequest: f}
	return []Action{&f}
}

// neededFetch is the load from the weight store that requests need first.
func (m *Scheduler) neededFetch(now time.Time) PermitRequest {
	for _, p := range m.requests {
		_, loaded := m.snap.Loaded[p.Model]
		if !p.holds() && !loaded && m.tier(p.Model) == engine.TierRemote {
			return PermitRequest{Model: p.Model, Priority: p.Priority, Remaining: p.expires().Sub(now)}
		}
	}
	return PermitRequest{Model: m.wishedRemote(now), Priority: aheadPriority}
}
