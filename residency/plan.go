package residency

import (
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
	if order == nil || s.mayOverload(now, order) {
		return out
	}
	s.countLoad(now, order)
	order.ExpectedAccepted = s.snap.Accepted
	s.inFlight = &inFlightOrder{Submit: *order, started: s.snap.Started, submittedAt: now, expectedDuration: s.expectedDuration(order)}
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
	v := s.retiredVictim()
	if v == "" {
		v = s.idleVictim(now, name)
	}
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
