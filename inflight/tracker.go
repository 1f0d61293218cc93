package inflight

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Tracker tracks at most one order in flight. It is not safe for concurrent
// use.
type Tracker struct {
	settleTime          time.Duration
	startedAt           time.Time
	engineIdle          bool
	unknownOrderRunning bool
	startupSettled      bool
	instance            string
	inFlight            *inFlightOrder
}

// New returns the tracker of an agent that started at startedAt. settleTime is
// the maximum time that an order stays in transit to the engine.
func New(startedAt time.Time, settleTime time.Duration) *Tracker {
	return &Tracker{settleTime: settleTime, startedAt: startedAt}
}

// Ready reports whether an order may be submitted: none is in flight, the last
// engine state showed none running, and none of an earlier incarnation can
// still arrive.
func (b *Tracker) Ready() bool { return b.inFlight == nil && b.engineIdle && b.startupSettled }

// InFlight returns the order in flight and whether there is one.
func (b *Tracker) InFlight() (engine.Order, bool) {
	if b.inFlight == nil {
		return engine.Order{}, false
	}
	return b.inFlight.order, true
}

// CannotLoad reports whether no order, of this incarnation or an earlier one,
// can still load m.
func (b *Tracker) CannotLoad(m ident.Model) bool {
	if !b.startupSettled || b.unknownOrderRunning {
		return false
	}
	return b.inFlight == nil || b.inFlight.order.Model != m
}

// Begin records an order that is about to be submitted. It fails with
// *BusyError if Ready returns false.
func (b *Tracker) Begin(o engine.Order, now time.Time) error {
	if !b.Ready() {
		return &BusyError{ID: o.ID}
	}
	b.inFlight = &inFlightOrder{order: o, status: statusSent, statusSince: now, instance: b.instance}
	return nil
}

// RecordResponse records the result of submitting the order in flight. A
// rejection ends the order, since a rejected order has not run.
func (b *Tracker) RecordResponse(id string, r Response, now time.Time) (Outcome, bool) {
	if b.inFlight == nil || b.inFlight.order.ID != id {
		return Outcome{}, false
	}
	b.inFlight.statusSince = now
	switch r {
	case ResponseRejected:
		return b.finish(false), true
	case ResponseAccepted:
		b.inFlight.status = statusAccepted
	case ResponseLost:
		b.inFlight.status = statusUnknown
	}
	return Outcome{}, false
}

// Observe records an engine state whose read began at readStart. It returns the
// outcome of the order in flight, and true, if the state determines it.
func (b *Tracker) Observe(s engine.State, readStart time.Time) (Outcome, bool) {
	b.engineIdle = len(s.RunningOrders) == 0 && !hasTransientModel(s)
	b.unknownOrderRunning = slices.ContainsFunc(s.RunningOrders, func(id string) bool { return b.inFlight == nil || id != b.inFlight.order.ID })
	b.instance = s.Instance
	if !readStart.Before(b.startedAt.Add(b.settleTime)) {
		b.startupSettled = true
	}
	if b.inFlight == nil || b.inFlight.status == statusSent || readStart.Before(b.inFlight.statusSince) {
		return Outcome{}, false
	}
	return b.resolve(s, readStart)
}

// resolve determines the outcome of the order in flight from a state read that
// began after the result of its submission was known.
func (b *Tracker) resolve(s engine.State, readStart time.Time) (Outcome, bool) {
	e := b.inFlight
	if s.Instance != e.instance && e.status == statusAccepted {
		return b.finish(hasEffect(e.order, s)), true
	}
	if slices.Contains(s.RunningOrders, e.order.ID) {
		e.status = statusAccepted
		return Outcome{}, false
	}
	if !b.engineIdle {
		return Outcome{}, false
	}
	if e.status == statusAccepted {
		return b.finish(hasEffect(e.order, s)), true
	}
	// A load is submitted only once and only while its target is absent, so its
	// effect proves that it has arrived.
	if hasEffect(e.order, s) && isLoad(e.order.Kind) {
		return b.finish(true), true
	}
	if readStart.Before(e.statusSince.Add(b.settleTime)) {
		return Outcome{}, false
	}
	return b.finish(hasEffect(e.order, s)), true
}

func (b *Tracker) finish(succeeded bool) Outcome {
	o := Outcome{Order: b.inFlight.order, Succeeded: succeeded}
	b.inFlight = nil
	return o
}

func isLoad(k engine.OrderKind) bool {
	return k == engine.OrderLoad || k == engine.OrderLoadAdapter
}

func hasTransientModel(s engine.State) bool {
	return slices.ContainsFunc(s.Models, func(m engine.ModelState) bool { return m.Phase != engine.PhaseLoaded })
}

// hasEffect reports whether the state shows the requested effect of the order.
func hasEffect(o engine.Order, s engine.State) bool {
	i := slices.IndexFunc(s.Models, func(m engine.ModelState) bool { return m.Model == o.Model })
	has := func(a ident.Adapter) bool { return i >= 0 && slices.Contains(s.Models[i].Adapters, a) }
	switch o.Kind {
	case engine.OrderLoad:
		return i >= 0 && s.Models[i].Phase == engine.PhaseLoaded
	case engine.OrderUnload:
		return i < 0
	case engine.OrderLoadAdapter:
		return has(o.Adapter)
	case engine.OrderUnloadAdapter:
		return !has(o.Adapter)
	}
	return false
}
