package inflight

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Tracker holds at most one open order. It is not safe for concurrent use.
type Tracker struct {
	settle   time.Duration
	started  time.Time
	quiet    bool
	foreign  bool
	observed bool
	instance string
	open     *entry
}

// New returns the book of an agent that started at the given time. Settle is
// the longest time for which an order may stay in transit to the engine.
func New(started time.Time, settle time.Duration) *Tracker {
	return &Tracker{settle: settle, started: started}
}

// Ready tells whether an order may be opened: none is open, the last state
// showed none running, and none of an earlier incarnation can still arrive.
func (b *Tracker) Ready() bool { return b.open == nil && b.quiet && b.observed }

// InFlight returns the open order, if there is one.
func (b *Tracker) InFlight() (engine.Order, bool) {
	if b.open == nil {
		return engine.Order{}, false
	}
	return b.open.order, true
}

// CannotLoad tells whether no order, of this incarnation or an earlier one, can
// still load m.
func (b *Tracker) CannotLoad(m ident.Model) bool {
	if !b.observed || b.foreign {
		return false
	}
	return b.open == nil || b.open.order.Model != m
}

// Begin opens an order that is about to be submitted, or fails with *BusyError.
func (b *Tracker) Begin(o engine.Order, now time.Time) error {
	if !b.Ready() {
		return &BusyError{ID: o.ID}
	}
	b.open = &entry{order: o, status: statusSent, since: now, instance: b.instance}
	return nil
}

// RecordResponse records the answer to the open order. A refusal ends the order,
// since a refused order has not run.
func (b *Tracker) RecordResponse(id string, a Response, now time.Time) (Outcome, bool) {
	if b.open == nil || b.open.order.ID != id {
		return Outcome{}, false
	}
	b.open.since = now
	switch a {
	case ResponseRejected:
		return b.end(false), true
	case ResponseAccepted:
		b.open.status = statusAccepted
	case ResponseLost:
		b.open.status = statusUnknown
	}
	return Outcome{}, false
}

// Observe takes a state of the engine whose read began at begun, and returns
// the outcome of the open order if the state settles it.
func (b *Tracker) Observe(s engine.State, begun time.Time) (Outcome, bool) {
	b.quiet = len(s.RunningOrders) == 0 && !transient(s)
	b.foreign = slices.ContainsFunc(s.RunningOrders, func(id string) bool { return b.open == nil || id != b.open.order.ID })
	b.instance = s.Instance
	if !begun.Before(b.started.Add(b.settle)) {
		b.observed = true
	}
	if b.open == nil || b.open.status == statusSent || begun.Before(b.open.since) {
		return Outcome{}, false
	}
	return b.judge(s, begun)
}

// judge reads the outcome of the open order from a state read that began after
// the answer was known.
func (b *Tracker) judge(s engine.State, begun time.Time) (Outcome, bool) {
	e := b.open
	if s.Instance != e.instance && e.status == statusAccepted {
		return b.end(effective(e.order, s)), true
	}
	if slices.Contains(s.RunningOrders, e.order.ID) {
		e.status = statusAccepted
		return Outcome{}, false
	}
	if !b.quiet {
		return Outcome{}, false
	}
	if e.status == statusAccepted {
		return b.end(effective(e.order, s)), true
	}
	// A load is submitted only while its target is absent, and once, so its
	// effect proves that it has arrived.
	if effective(e.order, s) && loads(e.order.Kind) {
		return b.end(true), true
	}
	if begun.Before(e.since.Add(b.settle)) {
		return Outcome{}, false
	}
	return b.end(effective(e.order, s)), true
}

func (b *Tracker) end(done bool) Outcome {
	o := Outcome{Order: b.open.order, Succeeded: done}
	b.open = nil
	return o
}

func loads(k engine.OrderKind) bool {
	return k == engine.OrderLoad || k == engine.OrderLoadAdapter
}

func transient(s engine.State) bool {
	return slices.ContainsFunc(s.Models, func(m engine.ModelState) bool { return m.Phase != engine.PhaseLoaded })
}

// effective tells whether the state shows what the order asked for.
func effective(o engine.Order, s engine.State) bool {
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
