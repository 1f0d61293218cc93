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
// engine state showed none running and no model that is loading or unloading,
// and none of an earlier incarnation can still arrive.
func (t *Tracker) Ready() bool { return t.inFlight == nil && t.engineIdle && t.startupSettled }

// InFlight returns the order in flight and whether there is one.
func (t *Tracker) InFlight() (engine.Order, bool) {
	if t.inFlight == nil {
		return engine.Order{}, false
	}
	return t.inFlight.order, true
}

// CannotLoad reports whether no order, of this incarnation or an earlier one,
// can still load m.
func (t *Tracker) CannotLoad(m ident.Model) bool {
	if !t.startupSettled || t.unknownOrderRunning {
		return false
	}
	return t.inFlight == nil || t.inFlight.order.Model != m
}

// Begin records an order that is about to be submitted. It fails with
// *BusyError if Ready returns false.
func (t *Tracker) Begin(o engine.Order, now time.Time) error {
	if !t.Ready() {
		return &BusyError{ID: o.ID}
	}
	t.inFlight = &inFlightOrder{order: o, status: statusSent, statusSince: now, instance: t.instance}
	return nil
}

// RecordResponse records the result of submitting the order in flight. A
// rejection ends the order, since a rejected order has not run; RecordResponse
// then returns the outcome and true.
func (t *Tracker) RecordResponse(id string, r Response, now time.Time) (Outcome, bool) {
	if t.inFlight == nil || t.inFlight.order.ID != id {
		return Outcome{}, false
	}
	t.inFlight.statusSince = now
	switch r {
	case ResponseRejected:
		return t.finish(false), true
	case ResponseAccepted:
		t.inFlight.status = statusAccepted
	case ResponseLost:
		t.inFlight.status = statusUnknown
	}
	return Outcome{}, false
}

// Observe records an engine state whose read began at readStart. It returns the
// outcome of the order in flight, and true, if the state determines it.
func (t *Tracker) Observe(s engine.State, readStart time.Time) (Outcome, bool) {
	t.engineIdle = len(s.RunningOrders) == 0 && !hasTransientModel(s)
	t.unknownOrderRunning = slices.ContainsFunc(s.RunningOrders, func(id string) bool { return t.inFlight == nil || id != t.inFlight.order.ID })
	t.instance = s.Instance
	if !readStart.Before(t.startedAt.Add(t.settleTime)) {
		t.startupSettled = true
	}
	if t.inFlight == nil || t.inFlight.status == statusSent || readStart.Before(t.inFlight.statusSince) {
		return Outcome{}, false
	}
	return t.resolve(s, readStart)
}

// resolve determines the outcome of the order in flight from a state read that
// began after the result of its submission was known.
func (t *Tracker) resolve(s engine.State, readStart time.Time) (Outcome, bool) {
	o := t.inFlight
	if s.Instance != o.instance && o.status == statusAccepted {
		return t.finish(hasEffect(o.order, s)), true
	}
	if slices.Contains(s.RunningOrders, o.order.ID) {
		o.status = statusAccepted
		return Outcome{}, false
	}
	if !t.engineIdle {
		return Outcome{}, false
	}
	if o.status == statusAccepted {
		return t.finish(hasEffect(o.order, s)), true
	}
	// A load is submitted only once and only while its target is absent, so its
	// effect proves that it has arrived.
	if hasEffect(o.order, s) && isLoad(o.order.Kind) {
		return t.finish(true), true
	}
	if readStart.Before(o.statusSince.Add(t.settleTime)) {
		return Outcome{}, false
	}
	return t.finish(hasEffect(o.order, s)), true
}

func (t *Tracker) finish(succeeded bool) Outcome {
	o := Outcome{Order: t.inFlight.order, Succeeded: succeeded}
	t.inFlight = nil
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
