package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// orderForLoads returns requests that wait for models in the order in which the models are
// loaded. After several loads, the oldest late request comes first.
func (s *Scheduler) orderForLoads(now time.Time, waiting []*pending) []*pending {
	l := s.queueLimits(now)
	queue := make([]queuePlace, 0, len(waiting))
	for _, p := range waiting {
		queue = append(queue, s.place(now, l, p))
	}
	sortPlaces(queue)
	if s.order.loadsSinceLate >= lateInterval {
		moveOldestLate(queue)
	}
	ordered := make([]*pending, 0, len(queue))
	for _, q := range queue {
		ordered = append(ordered, q.pending)
	}
	return ordered
}

// countLoad counts the time of a load for the tenant whose request it serves first.
func (s *Scheduler) countLoad(now time.Time, o *Submit) {
	if o.Kind != engine.OrderLoad || !s.Ordered(now) {
		return
	}
	queue := s.places(now, func(p *pending) bool { return !s.ready(p) })
	first := slices.IndexFunc(queue, func(q queuePlace) bool { return q.Model == o.Model })
	if first < 0 {
		return
	}
	s.order.loads.add(now, queue[first].Tenant, queue[first].Allotment, s.swapTime(o.Model).Seconds())
	if s.order.loadsSinceLate++; queue[first].late {
		s.order.loadsSinceLate = 0
	}
}

// neededBeforeOrdered lists the models to load for waiting requests that precede the given
// one.
func (s *Scheduler) neededBeforeOrdered(now time.Time, p *pending) []ident.Model {
	l := s.queueLimits(now)
	place := s.place(now, l, p)
	var out []ident.Model
	for _, name := range s.neededModels(now) {
		if slices.ContainsFunc(s.requests, func(q *pending) bool {
			return !q.isGranted() && q.Model == name && s.place(now, l, q).compare(place) <= 0
		}) {
			out = append(out, name)
		}
	}
	return out
}
