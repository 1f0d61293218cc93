package residency

import (
	"math"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// orderedFor is how long the queue stays ordered after the newest request that asks for it.
	orderedFor = time.Minute
	// firstEventMargin is added to the estimated prefill time of a request: an engine
	// begins a prompt with its next step.
	firstEventMargin = 20 * time.Millisecond
	// lateInterval is the number of grants of which one goes to the oldest late request.
	lateInterval = 5
	// kindHeadroom is the fraction of the concurrency limit that requests of a kind leave
	// free which is served more often than a more urgent one, and tenantHeadroom that of
	// tenants beyond their share while others are refused: urgent requests can wait for
	// only a fraction of a run time.
	kindHeadroom   = 0.125
	tenantHeadroom = 0.3
	// grantAllowance is how many grants beyond its share a tenant may get.
	grantAllowance = 3
	// loadAllowance is how much load time beyond its share, in seconds, a tenant may get.
	loadAllowance = 0.5
)

// queueOrder is the state of the order of waiting requests. It handles these load
// patterns:
//
//   - a burst of latency-tolerant requests at an engine that urgent ones fill: the
//     latency-tolerant ones wait as long as their objective allows, and are the first that
//     are refused;
//
//   - a flood of one tenant: its requests wait for those of the others.
//
//   - more requests than the engine can serve in time: those that can still be in time are
//     served before those that are late already.
//
// The order is used while requests have objectives or tenants, or the engine runs on a shared
// machine. All others are served in order of arrival.
type queueOrder struct {
	// usedAt is when the newest request arrived that asks for the order.
	usedAt time.Time
	grants tenantShare
	loads  tenantShare
	served servedShare
	// sinceLate counts the grants, and loadsSinceLate the loads, since the newest one for
	// a late request.
	sinceLate, loadsSinceLate int
	// displacedAt is when a protected model was last unloaded.
	displacedAt time.Time
}

func newQueueOrder() queueOrder {
	return queueOrder{grants: tenantShare{halfLife: grantHalfLife, allowance: grantAllowance}, loads: tenantShare{halfLife: loadHalfLife, allowance: loadAllowance}}
}

// observe records whether requests are to be ordered.
func (o *queueOrder) observe(now time.Time, r *Request) {
	if r.Tenant != "" || r.SharedMachine || r.Objective > 0 {
		o.usedAt = now
	}
}

// Ordered reports whether waiting requests are ordered by what they lose by waiting.
func (s *Scheduler) Ordered(now time.Time) bool {
	return !s.order.usedAt.IsZero() && now.Sub(s.order.usedAt) < orderedFor
}

// queueLimits holds the amounts for each unit of weight above which a tenant yields.
type queueLimits struct{ grants, loads float64 }

func (s *Scheduler) queueLimits(now time.Time) queueLimits {
	tenants := make(map[ident.Tenant]float64)
	for _, p := range s.requests {
		if !p.isGranted() {
			tenants[p.Tenant] = p.Allotment
		}
	}
	l := queueLimits{grants: s.order.grants.limit(now, tenants)}
	// Tenants whose models are loaded lose by the loads of others.
	for name, a := range s.order.grants.amounts {
		tenants[name] = a.weight
	}
	l.loads = s.order.loads.limit(now, tenants)
	return l
}

// place returns the place of a waiting request in the order.
func (s *Scheduler) place(now time.Time, l queueLimits, p *pending) queuePlace {
	q := queuePlace{pending: p, served: s.order.served.of(p.kind())}
	_, backlog := s.Prefill(now)
	firstEvent := backlog + s.promptOf(now, p).prefill + firstEventMargin
	if s.ready(p) {
		q.over = s.order.grants.exceeds(p.Tenant, l.grants)
	} else {
		q.over = s.order.loads.exceeds(p.Tenant, l.loads)
		firstEvent += s.swapTime(p.Model)
	}
	q.headroom = s.headroom(q)
	q.slack = p.due().Sub(now) - firstEvent
	switch {
	case p.Resumed:
		// Only this version's engines can continue the stream; others can serve new requests.
		q.slack = -slackStep
	case p.Objective > 0 && p.Objective < firstEvent && !s.ready(p):
		// Its objective is shorter than the load. More such requests arrive until the model
		// is loaded, so the load comes before those that can wait for it.
		q.slack = 0
	case p.Objective <= 0 || q.slack < 0:
		q.late, q.slack = true, math.MaxInt64
		if p.Deadline > 0 {
			q.slack = p.arrivedAt.Add(p.Deadline).Sub(now) - firstEvent
		}
	}
	q.slack = min(q.slack, p.expires().Sub(now)-s.prefillWaitBehind(now, p, promptSum{}))
	return q
}

// headroom returns the number of places that a request leaves free.
func (s *Scheduler) headroom(q queuePlace) int {
	share := 0.0
	switch {
	case q.over && s.order.served.all() < 1-servedTolerance:
		share = tenantHeadroom
	case s.order.served.exceeds(q.kind()):
		share = kindHeadroom
	}
	return int(math.Ceil(share * s.concurrencyLimit.value))
}

// places returns the waiting requests for which include returns true, in order.
func (s *Scheduler) places(now time.Time, include func(*pending) bool) []queuePlace {
	l := s.queueLimits(now)
	var queue []queuePlace
	for _, p := range s.requests {
		if !p.isGranted() && include(p) {
			queue = append(queue, s.place(now, l, p))
		}
	}
	sortPlaces(queue)
	return queue
}

// grantOrdered admits waiting requests in order. Each grant changes the order of the rest.
func (s *Scheduler) grantOrdered(now time.Time) []Action {
	var out []Action
	for s.pace.Wait(now, 0) == 0 {
		p, late := s.nextOrdered(now)
		if p == nil {
			break
		}
		s.countDecision(now, p, true)
		s.order.grants.add(now, p.Tenant, p.Allotment, 1)
		if s.order.sinceLate++; late {
			s.order.sinceLate = 0
		}
		out = append(out, s.grant(now, p))
	}
	return out
}

// nextOrdered returns the request to admit next, or nil, and whether it is late. A request
// whose prompt does not fit into the prefill backlog yet lets others pass as long as it can
// still meet its objective afterwards, so that long prompts are not starved by short ones.
func (s *Scheduler) nextOrdered(now time.Time) (next *pending, late bool) {
	queue := s.places(now, s.ready)
	turn := s.order.sinceLate >= lateInterval && moveOldestLate(queue)
	room := time.Duration(math.MaxInt64)
	for i, q := range queue {
		first := turn && i == 0
		if !s.hasCapacity(q.pending) || !first && q.headroom > 0 && float64(s.active+1+q.headroom) > s.concurrencyLimit.value {
			continue
		}
		fits := s.prefillFits(now, q.pending)
		switch {
		case fits && s.promptOf(now, q.pending).prefill <= room:
			return q.pending, q.late
		case first:
			return nil, false
		case !fits:
			room = min(room, max(0, q.slack))
		}
	}
	return nil, false
}

// countDecision counts the admission or refusal of a request for its kind. Requests of
// tenants beyond their share are left out: their refusals say nothing about the kind.
func (s *Scheduler) countDecision(now time.Time, p *pending, admitted bool) {
	if s.Ordered(now) && !s.place(now, s.queueLimits(now), p).over {
		s.order.served.add(now, p.kind(), admitted)
	}
}

// moveOldestLate moves the late request that arrived first to the front, one of a tenant
// within its share if there is any, and reports whether there is one.
func moveOldestLate(queue []queuePlace) bool {
	oldest := -1
	for i, q := range queue {
		if !q.late {
			continue
		}
		if oldest < 0 || !q.over && queue[oldest].over || q.over == queue[oldest].over && q.arrivedAt.Before(queue[oldest].arrivedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	q := queue[oldest]
	copy(queue[1:oldest+1], queue[:oldest])
	queue[0] = q
	return true
}

// nextOrderedGrant returns when the prefill backlog or the request limit admits another
// request. Those that fit already wait for one that precedes them.
func (s *Scheduler) nextOrderedGrant(now time.Time) (time.Time, bool) {
	pace := s.pace.Wait(now, 0)
	wait, found := time.Duration(math.MaxInt64), false
	for _, p := range s.requests {
		if p.isGranted() || !s.ready(p) || !s.hasCapacity(p) || pace == 0 && s.prefillFits(now, p) {
			continue
		}
		wait, found = min(wait, max(s.prefillWaitBehind(now, p, promptSum{}), pace)), true
	}
	if !found {
		return time.Time{}, false
	}
	return now.Add(wait), true
}

// readyAhead returns the other waiting requests whose model and adapter are loaded and that
// are admitted before a request: all of them in order of arrival.
func (s *Scheduler) readyAhead(now time.Time, p *pending) []*pending {
	var ahead []*pending
	for _, q := range s.requests {
		if !q.isGranted() && q != p && s.ready(q) {
			ahead = append(ahead, q)
		}
	}
	if len(ahead) == 0 || !s.Ordered(now) {
		return ahead
	}
	l := s.queueLimits(now)
	place := s.place(now, l, p)
	return slices.DeleteFunc(ahead, func(q *pending) bool { return s.place(now, l, q).compare(place) > 0 })
}
