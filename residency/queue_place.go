package residency

import (
	"cmp"
	"slices"
	"time"
)

// slackStep is the resolution at which slacks are compared: below it, the priority
// decides.
const slackStep = 50 * time.Millisecond

// queuePlace is what decides the place of a waiting request among the others.
type queuePlace struct {
	*pending
	// over is set if the request's tenant has got more than its equal share recently.
	over bool
	// late is set if the request would miss its objective although it were admitted now.
	late bool
	// slack is how long the request can wait and still meet its objective, or its deadline
	// if it is late, within its MaxWait.
	slack time.Duration
	// served is the fraction of its kind's requests that were admitted recently.
	served float64
	// headroom is the number of places at the engine that the request leaves free.
	headroom int
}

// compare orders requests by what they lose by waiting. Tenants that have got more than
// their share yield to the others. Requests that can still meet their objective precede
// those that can't. The rest is by slack, so that a latency-tolerant request precedes
// urgent ones only when it would otherwise be late.
func (a queuePlace) compare(b queuePlace) int {
	return cmp.Or(
		compareBool(a.over, b.over),
		compareBool(a.late, b.late),
		cmp.Compare(a.slack/slackStep, b.slack/slackStep),
		cmp.Compare(a.Priority, b.Priority),
		a.arrivedAt.Compare(b.arrivedAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// lessUrgent reports whether a is refused before b when not both can be served: the
// requests of tenants that have got more than their share, then the less urgent kind.
func (a queuePlace) lessUrgent(b queuePlace) bool {
	if a.over != b.over {
		return a.over
	}
	return b.kind().moreUrgent(a.kind())
}

// givesWayTo reports whether a waiting request may be refused for an arrived one: it is
// less urgent, and its kind is served no less often, unless its tenant has got more than
// its share.
func (a queuePlace) givesWayTo(arrived queuePlace) bool {
	return a.lessUrgent(arrived) && (a.over && !arrived.over || a.served >= arrived.served)
}

// leastUrgent returns the request to refuse first: an arrived one, or one that gives way to
// it. Of equals it is the last one, whose chance is the least.
func leastUrgent(queue []queuePlace, arrived queuePlace) *pending {
	worst := arrived
	for _, q := range queue {
		if q.givesWayTo(arrived) && !worst.lessUrgent(q) {
			worst = q
		}
	}
	return worst.pending
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func sortPlaces(queue []queuePlace) {
	slices.SortFunc(queue, queuePlace.compare)
}
