package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// displaceInterval is the interval at which a protected model may be unloaded all the
	// same, so that other models are not starved by it.
	displaceInterval = 10 * time.Second
	// impatientWeight is how many requests that can wait for a reload one counts as that
	// can't, in the choice of the model to unload.
	impatientWeight = 4
	// floodedFor is how long after a request of a tenant beyond its share its model counts
	// as used by a flood.
	floodedFor = 4 * time.Second
)

// countRequest counts an arriving request for its model. In an ordered queue, requests of
// tenants that have got more than their share are left out, so that a flood does not raise
// the rank of its models.
func (s *Scheduler) countRequest(now time.Time, r *Request) {
	st := s.model(r.Model)
	if s.order.observe(now, r); s.Ordered(now) {
		if l := s.queueLimits(now); s.beyondShare(l, r.Tenant) {
			st.floodedAt = now
			return
		}
		if r.Objective > 0 && r.Objective < s.swapTime(r.Model) {
			st.impatientRate.Add(now, s.opts.RateHalfLife)
		}
	}
	st.requestRate.Add(now, s.opts.RateHalfLife)
}

// unloadScore returns the rate of requests for a loaded model; the model with the lowest
// one is unloaded first. In an ordered queue, requests that can't wait for a reload count
// several times.
func (s *Scheduler) unloadScore(now time.Time, st *modelState) float64 {
	score := st.requestRate.Get(now, s.opts.RateHalfLife)
	if s.Ordered(now) {
		score += (impatientWeight - 1) * st.impatientRate.Get(now, s.opts.RateHalfLife)
	}
	return score
}

// protected reports whether a loaded model is not unloaded for another one for now, in an
// ordered queue. It handles rare models whose requests can wait beside models of urgent
// requests: the unload costs all urgent requests that arrive until the model is loaded
// again.
func (s *Scheduler) protected(now time.Time, name, forModel ident.Model) bool {
	return s.unloadCosts(now, name, forModel) && now.Before(s.order.displacedAt.Add(displaceInterval))
}

// unloadCosts reports whether an unload loses more requests than wait for the other model.
// Those of tenants beyond their share of the loads don't count.
func (s *Scheduler) unloadCosts(now time.Time, name, forModel ident.Model) bool {
	if forModel == "" || !s.Ordered(now) {
		return false
	}
	away := s.swapTime(forModel) + s.swapTime(name)
	loss := s.model(name).impatientRate.Get(now, s.opts.RateHalfLife) * away.Seconds()
	l := s.queueLimits(now)
	gain, byTenant := 0, make(map[ident.Tenant]int)
	for _, p := range s.requests {
		if p.isGranted() || p.Model != forModel || s.beyondShare(l, p.Tenant) {
			continue
		}
		if byTenant[p.Tenant]++; byTenant[p.Tenant] <= tenantLoadRequests {
			gain++
		}
	}
	return loss > float64(gain)
}

// countUnload records the unload of a protected model.
func (s *Scheduler) countUnload(now time.Time, name, forModel ident.Model) {
	if s.unloadCosts(now, name, forModel) {
		s.order.displacedAt = now
	}
}

// protectionWait returns how long protected models stay loaded, if all that could be
// unloaded for a model are protected.
func (s *Scheduler) protectionWait(now time.Time, forModel ident.Model) time.Duration {
	if forModel == "" || s.idleVictim(now, "") == "" {
		return 0
	}
	return max(0, s.order.displacedAt.Add(displaceInterval).Sub(now))
}

// beyondShare reports whether a tenant has got more than its share of the grants or loads.
func (s *Scheduler) beyondShare(l queueLimits, t ident.Tenant) bool {
	return s.order.grants.amounts[t] > l.grants || s.order.loads.amounts[t] > l.loads
}

// floodedVictim returns a model in use by a tenant beyond its share, to be unloaded for a
// model that others request much more often, or an empty name. It handles a flood that
// keeps its models in use all the time, so that none of them becomes idle.
func (s *Scheduler) floodedVictim(now time.Time, forModel ident.Model) ident.Model {
	if !s.Ordered(now) {
		return ""
	}
	threshold := s.requestRate(now, forModel) / busyEvictionFactor
	return s.leastRequested(now, forModel, func(st *modelState) bool {
		return now.Sub(st.floodedAt) < floodedFor && st.requestRate.Get(now, s.opts.RateHalfLife) < threshold
	})
}

// keepsModel reports whether a request waits for a loaded model that has to stay for it. In
// an ordered queue, tenants beyond their share keep no model.
func (s *Scheduler) keepsModel(now time.Time, name ident.Model) bool {
	if !s.Ordered(now) {
		return s.hasWaiting(name, "")
	}
	l := s.queueLimits(now)
	return slices.ContainsFunc(s.requests, func(p *pending) bool {
		return !p.isGranted() && p.Model == name && !s.beyondShare(l, p.Tenant)
	})
}
