package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// lateOrderTimeout is how long after it was submitted an order without an answer may still be
// carried out. The platform says seconds.
const lateOrderTimeout = 20 * time.Second

// UnansweredOrder is a load of a model or adapter that got no answer. Within one start of the
// engine it can't overload it: it is valid only while no other order has been accepted. After a
// restart the count of orders begins anew, and the order is valid again when the count is the same.
type UnansweredOrder struct {
	Kind             engine.OrderKind `json:"kind"`
	Model            ident.Model      `json:"model"`
	Adapter          ident.Adapter    `json:"adapter,omitempty"`
	ExpectedAccepted uint64           `json:"after"`
	// Started identifies the start of the engine for which it was submitted.
	Started int64 `json:"started"`
	// SizeMB is the memory that it takes.
	SizeMB float64 `json:"memory_mb"`
}

// expiringOrder is an UnansweredOrder that may still be carried out until it expires.
type expiringOrder struct {
	UnansweredOrder
	expires time.Time
}

// recordUnanswered records an order that may be carried out later.
func (s *Scheduler) recordUnanswered(o *inFlightOrder) {
	spec := s.spec.Model(o.Model)
	if spec == nil {
		return
	}
	u := UnansweredOrder{Kind: o.Kind, Model: o.Model, Adapter: o.Adapter, ExpectedAccepted: o.ExpectedAccepted, Started: o.started}
	switch o.Kind {
	case engine.OrderLoad:
		u.SizeMB = spec.MemoryMB
	case engine.OrderLoadAdapter:
		u.SizeMB = spec.AdapterMB
	default:
		return
	}
	s.unanswered = append(s.unanswered, expiringOrder{u, o.submittedAt.Add(lateOrderTimeout)})
}

// Unanswered returns the orders without an answer that may still be carried out.
func (s *Scheduler) Unanswered(now time.Time) []UnansweredOrder {
	s.expireUnanswered(now)
	orders := make([]UnansweredOrder, len(s.unanswered))
	for i := range s.unanswered {
		orders[i] = s.unanswered[i].UnansweredOrder
	}
	return orders
}

// RecallUnanswered takes the orders that an earlier process left without an answer. How long ago
// they were submitted is unknown.
func (s *Scheduler) RecallUnanswered(now time.Time, orders []UnansweredOrder) {
	for _, u := range orders {
		s.unanswered = append(s.unanswered, expiringOrder{u, now.Add(lateOrderTimeout)})
	}
}

func (s *Scheduler) expireUnanswered(now time.Time) {
	s.unanswered = slices.DeleteFunc(s.unanswered, func(u expiringOrder) bool { return !now.Before(u.expires) })
}

// mayOverload reports whether the engine could be overloaded by an order from before its last
// start, if it were carried out right after the given one.
func (s *Scheduler) mayOverload(now time.Time, next *Submit) bool {
	s.expireUnanswered(now)
	return slices.ContainsFunc(s.unanswered, func(u expiringOrder) bool {
		return u.Started != s.snap.Started && u.ExpectedAccepted == s.snap.Accepted+1 && !s.fitsAfter(next, &u.UnansweredOrder)
	})
}

// fitsAfter reports whether an order can be carried out within the limits of the engine after
// another one.
func (s *Scheduler) fitsAfter(next *Submit, u *UnansweredOrder) bool {
	adapters, loaded := s.snap.Loaded[u.Model]
	present := slices.Contains(adapters, u.Adapter)
	usedMB, slots := s.usedMB(), s.usedAdapterSlots()
	f := s.footprints[next.Model]
	switch next.Kind {
	case engine.OrderLoad:
		loaded = loaded || next.Model == u.Model
		usedMB += s.spec.Model(next.Model).MemoryMB
	case engine.OrderUnload:
		loaded = loaded && next.Model != u.Model
		n := len(s.snap.Loaded[next.Model])
		usedMB -= f.weights + float64(n)*f.adapter
		slots -= n
	case engine.OrderLoadAdapter:
		present = present || next.Model == u.Model && next.Adapter == u.Adapter
		usedMB += f.adapter
		slots++
	case engine.OrderUnloadAdapter:
		present = present && (next.Model != u.Model || next.Adapter != u.Adapter)
		usedMB -= f.adapter
		slots--
	}
	switch {
	case u.Kind == engine.OrderLoad && loaded:
		return true
	case u.Kind == engine.OrderLoadAdapter && (!loaded || present):
		return true
	case u.Kind == engine.OrderLoadAdapter:
		slots++
	}
	return usedMB+u.SizeMB <= s.spec.MemoryMB && slots <= s.spec.AdapterSlots
}
