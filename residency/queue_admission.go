package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// reserveOrdered queues or refuses an arriving request. It makes room for one that is more
// urgent than a waiting one, which is refused at once if not both can be served in time.
func (s *Scheduler) reserveOrdered(now time.Time, p *pending) []Action {
	if !s.ready(p) {
		return s.queueForLoad(now, p)
	}
	wait, reason := s.estimate(now, p)
	displaced, ok := s.findRoom(now, p)
	if !ok {
		return []Action{s.refuseArrival(now, p, max(wait, s.queueWait(now)), reason)}
	}
	var out []Action
	s.requests = append(s.requests, p)
	if displaced != nil {
		out = append(out, s.displace(now, displaced))
	}
	return append(out, s.Tick(now)...)
}

func (s *Scheduler) refuseArrival(now time.Time, p *pending, wait time.Duration, reason Reason) *Refuse {
	if reason == ReasonLoad {
		s.expectRetry(now, p.Model)
	}
	s.countDecision(now, p, false)
	return &Refuse{ID: p.ID, RetryAfter: wait, Reason: reason}
}

// displace refuses a waiting request in favour of a more urgent one.
func (s *Scheduler) displace(now time.Time, p *pending) *Refuse {
	wait, _ := s.estimate(now, p)
	s.countDecision(now, p, false)
	s.requests = slices.DeleteFunc(s.requests, func(q *pending) bool { return q == p })
	if !s.ready(p) {
		s.expectRetry(now, p.Model)
	}
	return &Refuse{ID: p.ID, RetryAfter: max(wait, s.queueWait(now)), Reason: ReasonDisplaced}
}

// queueWait estimates the wait of a request behind all others whose model is loaded.
func (s *Scheduler) queueWait(now time.Time) time.Duration {
	n := s.queued()
	return max(s.capacityWaitBehind(n), s.pace.Wait(now, n))
}

// waitBehind estimates the wait of a request whose model is loaded behind n others with the
// given prompts.
func (s *Scheduler) waitBehind(now time.Time, p *pending, n int, prompts promptSum) time.Duration {
	return max(s.capacityWaitBehind(n), s.prefillWaitBehind(now, p, prompts), s.pace.Wait(now, n))
}

// findRoom reports whether an arriving request whose model is loaded can be queued, and
// which waiting request has to be refused for it, if any. Of the requests that the arrival
// makes late for their admission, and those before them, the least urgent is refused; it
// may be the arriving one.
func (s *Scheduler) findRoom(now time.Time, p *pending) (displaced *pending, ok bool) {
	l := s.queueLimits(now)
	place := s.place(now, l, p)
	queue := append(s.places(now, s.ready), place)
	sortPlaces(queue)
	arrived, prompts := false, promptSum{}
	for n, q := range queue {
		left := q.expires().Sub(now)
		missed := s.waitBehind(now, q.pending, n+q.headroom, prompts) > left
		arrived = arrived || q.pending == p
		if missed && arrived {
			worst := leastUrgent(queue[:n+1], place)
			without := p
			if q.pending == p {
				without = worst
			}
			inTime := s.waitBehind(now, q.pending, n-1+q.headroom, prompts.minus(s.promptOf(now, without))) <= left
			switch {
			case q.pending != p && !inTime:
				// It would have been late without the arrival.
			case worst == p || !inTime:
				return nil, false
			default:
				return worst, true
			}
		}
		prompts = prompts.plus(s.promptOf(now, q.pending))
	}
	return nil, true
}

// queueForLoad queues an arriving request that waits for a load. If the load makes others
// too late, the less urgent ones of them are refused; if one of them does not give way, the
// arriving request is.
func (s *Scheduler) queueForLoad(now time.Time, p *pending) []Action {
	before := s.loadWaits(now)
	s.requests = append(s.requests, p)
	if wait, reason := s.estimate(now, p); wait > p.MaxWait {
		s.requests = s.requests[:len(s.requests)-1]
		return []Action{s.refuseArrival(now, p, wait, reason)}
	}
	after := s.loadWaits(now)
	l := s.queueLimits(now)
	place := s.place(now, l, p)
	var displaced []*pending
	for _, q := range s.requests {
		if q.isGranted() || q.Model == p.Model || after[q.Model] <= before[q.Model] {
			continue
		}
		if left := q.expires().Sub(now); before[q.Model] > left || after[q.Model] <= left {
			continue
		}
		if !s.place(now, l, q).givesWayTo(place) {
			s.requests = s.requests[:len(s.requests)-1]
			return []Action{s.refuseArrival(now, p, after[q.Model], ReasonLoad)}
		}
		displaced = append(displaced, q)
	}
	var out []Action
	for _, q := range displaced {
		out = append(out, s.displace(now, q))
	}
	return append(out, s.Tick(now)...)
}

// loadWaits estimates the time until each model that waiting requests need is loaded.
func (s *Scheduler) loadWaits(now time.Time) map[ident.Model]time.Duration {
	waits := make(map[ident.Model]time.Duration)
	wait := time.Duration(0)
	if s.inFlight != nil {
		wait = s.inFlight.remaining(now)
	}
	for _, name := range s.neededModels(now) {
		wait += s.swapTime(name)
		waits[name] = wait
	}
	return waits
}
