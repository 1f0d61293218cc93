package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

const (
	// permitRetryDelay is the pause after a permit request that was not granted.
	permitRetryDelay = 500 * time.Millisecond
	// adapterLoadTime is the approximate load time of an adapter.
	adapterLoadTime = 15 * time.Millisecond
	// speculativePriority is the priority of loads that no request waits for, the
	// lowest.
	speculativePriority = 9
)

// plan returns the next permit request and the next order, where they are due.
func (s *Scheduler) plan(now time.Time) []Action {
	if !s.ordersAllowed || !s.snapshotFresh(now) || s.snap.Leaving {
		return nil
	}
	out := s.requestPermit(now)
	if s.inFlight != nil || s.snap.Busy || now.Before(s.nextOrder) {
		return out
	}
	order := s.adapterOrder(now)
	if order == nil {
		order = s.modelOrder(now)
	}
	if order == nil {
		return out
	}
	s.countLoad(now, order)
	order.ExpectedAccepted = s.snap.Accepted
	s.inFlight = &inFlightOrder{Submit: *order, submittedAt: now, expectedDuration: s.expectedDuration(order)}
	return append(out, order)
}

func (s *Scheduler) expectedDuration(order *Submit) time.Duration {
	switch order.Kind {
	case engine.OrderLoad:
		return s.spec.Model(order.Model).LoadTime(s.tier(order.Model))
	case engine.OrderUnload:
		if s.model(order.Model).active > 0 {
			return s.runTime
		}
		return swapOverhead / 2
	}
	return adapterLoadTime
}

// adapterOrder returns an order that loads an adapter needed by a waiting request
// whose model is loaded, or that unloads another adapter to make room.
func (s *Scheduler) adapterOrder(now time.Time) *Submit {
	for _, p := range s.requests {
		adapters, loaded := s.snap.Loaded[p.Model]
		if p.isGranted() || p.Adapter == "" || !loaded || slices.Contains(adapters, p.Adapter) || !s.hasCapacity(p) {
			continue
		}
		if slices.Contains(s.snap.LoadingAdapters, AdapterRef{p.Model, p.Adapter}) {
			continue
		}
		if s.adapterFits(p.Model) {
			return &Submit{Kind: engine.OrderLoadAdapter, Model: p.Model, Adapter: p.Adapter, Purpose: "a request waits for the adapter"}
		}
		if ref, ok := s.idleAdapter(); ok {
			return &Submit{Kind: engine.OrderUnloadAdapter, Model: ref.Model, Adapter: ref.Adapter, Purpose: "room for another adapter"}
		}
	}
	return nil
}

// adapterFits reports whether a slot and memory are free for one more adapter of a
// model.
func (s *Scheduler) adapterFits(name ident.Model) bool {
	slots := len(s.snap.LoadingAdapters)
	for _, as := range s.snap.Loaded {
		slots += len(as)
	}
	return slots < s.spec.AdapterSlots && s.usedMB()+s.spec.Model(name).AdapterMB <= s.spec.MemoryMB
}

// idleAdapter returns the least recently used adapter that no request uses or waits
// for.
func (s *Scheduler) idleAdapter() (AdapterRef, bool) {
	var (
		best         AdapterRef
		bestLastUsed time.Time
		found        bool
	)
	for name, adapters := range s.snap.Loaded {
		for _, a := range adapters {
			st := s.model(name).adapter(a)
			if st.active > 0 || s.hasWaiting(name, a) {
				continue
			}
			if !found || st.lastUsed.Before(bestLastUsed) {
				best, bestLastUsed, found = AdapterRef{name, a}, st.lastUsed, true
			}
		}
	}
	return best, found
}

func (s *Scheduler) hasWaiting(name ident.Model, a ident.Adapter) bool {
	return slices.ContainsFunc(s.requests, func(p *pending) bool {
		return !p.isGranted() && p.Model == name && (a == "" || p.Adapter == a)
	})
}

// modelOrder returns an order that loads the model needed first, or that makes room
// for it. A permitted load from the weight store comes first if its model is requested
// much more often than the model needed first, and last if no request waits for it and
// no retry is expected, since it occupies the engine for seconds.
func (s *Scheduler) modelOrder(now time.Time) *Submit {
	neededModels := s.neededModels(now)
	if len(neededModels) > 0 && s.permitBeforeSwap(now, neededModels[0]) {
		if order := s.loadOrMakeRoom(now, s.permit.Model, "it is asked for most and has its place at the weight store"); order != nil {
			return order
		}
	}
	for _, name := range neededModels {
		if order := s.loadOrMakeRoom(now, name, "requests wait for the model"); order != nil {
			return order
		}
	}
	if s.permit.held() {
		return s.loadOrMakeRoom(now, s.permit.Model, "it has its place at the weight store")
	}
	return nil
}

// permitBeforeSwap reports whether the model with a granted permit is loaded before
// the next swap. It handles demand that moves to a model which no VM has cached: a
// swap serves one rare request, the remote load serves all that are refused
// meanwhile.
func (s *Scheduler) permitBeforeSwap(now time.Time, next ident.Model) bool {
	return s.permit.held() && s.permit.Model != next && s.requestRate(now, s.permit.Model) > busyEvictionFactor*s.requestRate(now, next)
}

func (s *Scheduler) requestRate(now time.Time, name ident.Model) float64 {
	return s.model(name).requestRate.Get(now, s.opts.RateHalfLife)
}

// loadOrMakeRoom returns an order that loads a model if memory is free, or otherwise
// one that unloads another model.
func (s *Scheduler) loadOrMakeRoom(now time.Time, name ident.Model, purpose string) *Submit {
	if _, loaded := s.snap.Loaded[name]; loaded {
		if s.hasPermit(name) {
			s.permit = nil
		}
		return nil
	}
	if s.hasMemory(name) {
		return &Submit{Kind: engine.OrderLoad, Model: name, Purpose: purpose}
	}
	v := s.idleVictim(now, name)
	if v == "" {
		v = s.floodedVictim(now, name)
	}
	if v == "" && s.hasPermit(name) {
		v = s.busyVictim(now, name)
	}
	if v != "" {
		s.countUnload(now, v, name)
		return &Submit{Kind: engine.OrderUnload, Model: v, Purpose: "room for " + string(name)}
	}
	return nil
}

// usedMB returns the memory of all loaded models and adapters and of adapters being
// loaded.
func (s *Scheduler) usedMB() float64 {
	used := 0.0
	for name, adapters := range s.snap.Loaded {
		if spec := s.spec.Model(name); spec != nil {
			used += spec.MemoryMB + float64(len(adapters))*spec.AdapterMB
		} else {
			// The size of a model that is no longer configured is unknown, so it
			// counts as the whole memory.
			used += s.spec.MemoryMB
		}
	}
	for _, ref := range s.snap.LoadingAdapters {
		if spec := s.spec.Model(ref.Model); spec != nil {
			used += spec.AdapterMB
		}
	}
	return used
}

// hasMemory reports whether a model fits beside all loaded ones.
func (s *Scheduler) hasMemory(name ident.Model) bool {
	return s.usedMB()+s.spec.Model(name).MemoryMB <= s.spec.MemoryMB
}

// idleVictim returns the idle model to unload for another one, or an empty name.
// Models whose weights are in memory or on disk come first, and among those the least
// requested.
func (s *Scheduler) idleVictim(now time.Time, forModel ident.Model) ident.Model {
	return s.leastRequested(now, forModel, func(st *modelState) bool { return st.active == 0 })
}

// busyVictim returns a model in use that is requested much less often than another
// one, or an empty name. The engine finishes its running requests before it unloads
// the model.
func (s *Scheduler) busyVictim(now time.Time, forModel ident.Model) ident.Model {
	threshold := s.requestRate(now, forModel) / busyEvictionFactor
	return s.leastRequested(now, forModel, func(st *modelState) bool { return st.requestRate.Get(now, s.opts.RateHalfLife) < threshold })
}

// busyEvictionFactor is the ratio of request rates above which a model in use is
// unloaded for another; the unload waits for running requests.
const busyEvictionFactor = 3

// leastRequested returns the loaded model to unload first, or an empty name.
// Candidates are models other than forModel for which allowed returns true, that no
// request waits for and that were loaded at least SettleTime ago.
func (s *Scheduler) leastRequested(now time.Time, forModel ident.Model, allowed func(*modelState) bool) ident.Model {
	var (
		best           ident.Model
		leastRequested float64
	)
	for name := range s.snap.Loaded {
		st := s.model(name)
		if name == forModel || !allowed(st) || s.keepsModel(now, name) || now.Sub(st.loadedAt) < s.opts.SettleTime || s.protected(now, name, forModel) {
			continue
		}
		score := s.unloadScore(now, st)
		if s.tier(name) == engine.TierRemote {
			score += remoteOnlyPenalty
		}
		if best == "" || score < leastRequested || score == leastRequested && name < best {
			best, leastRequested = name, score
		}
	}
	return best
}

// remoteOnlyPenalty ranks models that would have to come from the weight store again
// after all others; it exceeds any request rate.
const remoteOnlyPenalty = 1e6

// requestPermit returns a request for a permit to load from the weight store: for the
// first model that a request waits for or a caller is expected to retry, or without a
// model while nothing else is to be loaded. A request without a model is replaced by
// one with a model.
func (s *Scheduler) requestPermit(now time.Time) []Action {
	if s.inFlight != nil && s.inFlight.loadsModel() {
		return nil
	}
	request := s.neededPermit(now)
	open := s.permit != nil
	switch {
	case open && (s.permit.granted || s.permit.Model != "" || request.Model == ""):
		return nil
	case !open && now.Before(s.nextPermitRequest):
		return nil
	case request.Model == "" && len(s.neededModels(now)) > 0:
		return nil
	}
	s.permitRequestID++
	request.ID = s.permitRequestID
	s.permit = &permitState{PermitRequest: request}
	return []Action{&request}
}

// neededPermit returns the permit request for the remote model of the first waiting
// request, or that which orderedPermit chooses, or else for an expected retry. Model is empty if there is neither.
func (s *Scheduler) neededPermit(now time.Time) PermitRequest {
	if s.Ordered(now) {
		if r, ok := s.orderedPermit(now); ok {
			return r
		}
	}
	for _, p := range s.requests {
		_, loaded := s.snap.Loaded[p.Model]
		if !p.isGranted() && !loaded && s.tier(p.Model) == engine.TierRemote {
			return PermitRequest{Model: p.Model, Priority: p.Priority, Remaining: p.expires().Sub(now)}
		}
	}
	return PermitRequest{Model: s.expectedRemoteModel(now), Priority: speculativePriority}
}
