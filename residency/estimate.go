package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// swapOverhead is the time of an unload and of the reports between two orders.
const swapOverhead = 150 * time.Millisecond

// estimate is how long a request would wait for its place, and what for.
func (m *Scheduler) estimate(now time.Time, p *pending) (time.Duration, Reason) {
	room := max(m.roomWait(p), m.prefillWait(now, p))
	if _, loaded := m.snap.Loaded[p.Model]; loaded && !m.unloading(p.Model, p.Adapter) {
		return room, ReasonFull
	}
	load := m.loadWait(now, p)
	if room > load {
		return room, ReasonFull
	}
	return load, ReasonLoad
}

// roomWait is how long until a place is free: those that wait for nothing else
// come first, and places are freed evenly.
func (m *Scheduler) roomWait(p *pending) time.Duration {
	waiting := 0
	for _, q := range m.requests {
		if !q.holds() && q != p && m.ready(q) {
			waiting++
		}
	}
	over := float64(m.active+waiting+1) - m.limit.value
	if over <= 0 {
		return 0
	}
	return time.Duration(over / max(1, m.limit.value) * float64(m.runTime))
}

// prefillWait is how long until a request's prompt may be read, after those of all that
// wait for nothing else.
func (m *Scheduler) prefillWait(now time.Time, p *pending) time.Duration {
	most := maxBacklog(p.MaxEventGap)
	if most == 0 {
		return 0
	}
	ahead := m.prefill.backlog(now)
	for _, q := range m.requests {
		if !q.holds() && q != p && m.ready(q) {
			ahead += m.prefill.time(q.PromptTokens)
		}
	}
	if ahead == 0 {
		return 0
	}
	return max(0, min(ahead, ahead+m.prefill.time(p.PromptTokens)-most))
}

// loadWait is how long until the model of a request would be loaded, which waits
// behind the models of requests that are due earlier.
func (m *Scheduler) loadWait(now time.Time, p *pending) time.Duration {
	name := p.Model
	wait := time.Duration(0)
	if m.order != nil {
		wait = m.order.left(now)
		if m.loading(name) {
			return wait
		}
	}
	for _, other := range m.wantedBefore(now, p) {
		if other == name {
			break
		}
		wait += m.swapTime(other)
	}
	if !m.hasMemory(name) {
		wait += m.idleWait(now)
	}
	return wait + m.swapTime(name)
}

// swapTime is how long an unload and a load take.
func (m *Scheduler) swapTime(name ident.Model) time.Duration {
	return swapOverhead + m.spec.Model(name).LoadTime(m.tier(name))
}

// idleWait is how long until some model may make way. While all are in use, one
// falls idle within about half the time of a request.
func (m *Scheduler) idleWait(now time.Time) time.Duration {
	if m.victim(now, "") == "" {
		return m.runTime / 2
	}
	return 0
}

// tier is where a model's weights are nearest.
func (m *Scheduler) tier(name ident.Model) engine.Tier {
	if t, ok := m.snap.Tiers[name]; ok {
		return t
	}
	return engine.TierRemote
}

// wantedBefore lists the models that are loaded before that of a request.
func (m *Scheduler) wantedBefore(now time.Time, p *pending) []ident.Model {
	var out []ident.Model
	for _, name := range m.wanted(now) {
		i := slices.IndexFunc(m.requests, func(q *pending) bool {
			return !q.holds() && q.Model == name && !q.due().After(p.due())
		})
		if i >= 0 {
			out = append(out, name)
		}
	}
	return out
}

// wanted lists the models that are not loaded and that requests wait for, those
// whose first request is due first coming first, and then those that refused
// callers will come back for. Loads from the weight store count only once they
// have their place.
func (m *Scheduler) wanted(now time.Time) []ident.Model {
	var out []ident.Model
	waiting := slices.DeleteFunc(slices.Clone(m.requests), func(p *pending) bool {
		_, loaded := m.snap.Loaded[p.Model]
		return p.holds() || loaded && !m.unloading(p.Model, "")
	})
	slices.SortStableFunc(waiting, func(a, b *pending) int { return a.due().Compare(b.due()) })
	for _, p := range waiting {
		if m.loading(p.Model) {
			continue
		}
		if m.tier(p.Model) == engine.TierRemote && !m.mayFetch(p.Model) {
			continue
		}
		if !slices.Contains(out, p.Model) {
			out = append(out, p.Model)
		}
	}
	for _, w := range m.wishes {
		_, loaded := m.snap.Loaded[w.model]
		reachable := m.tier(w.model) != engine.TierRemote || m.mayFetch(w.model)
		if now.Before(w.until) && !loaded && reachable && !slices.Contains(out, w.model) {
			out = append(out, w.model)
		}
	}
	return out
}

// wishedRemote is the first model from the weight store that callers will come
// back for, or empty.
func (m *Scheduler) wishedRemote(now time.Time) ident.Model {
	for _, w := range m.wishes {
		if _, loaded := m.snap.Loaded[w.model]; !loaded && now.Before(w.until) && m.tier(w.model) == engine.TierRemote {
			return w.model
		}
	}
	return ""
}

// mayFetch tells whether a model has its place at the weight store.
func (m *Scheduler) mayFetch(name ident.Model) bool {
	return m.fetch.held() && m.fetch.Model == name
}
