package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// ahead returns the work of all regions that starts before e. sameFlow is the
// work of the same flow that is queued before e.
func (b *backlog) ahead(e *entry, sameFlow time.Duration) time.Duration {
	rq := b.regionQueue(e.Region)
	sum := rq.ahead(e, sameFlow)
	start := rq.virtualTimeAfter(sum)
	for _, other := range b.regionQueues {
		if other != rq {
			sum += b.aheadInRegion(other, e.Priority, start)
		}
	}
	return sum
}

// ahead returns the work of the region that starts before e.
func (rq *regionQueue) ahead(e *entry, sameFlow time.Duration) time.Duration {
	var sum time.Duration
	for _, c := range rq.classes {
		switch {
		case c.priority < e.Priority:
			sum += c.work
		case c.priority == e.Priority:
			sum += c.ahead(e.Environment, sameFlow)
		}
	}
	return sum
}

// aheadInRegion returns the work of another region that starts before an item
// of priority p that starts at virtual time start.
func (b *backlog) aheadInRegion(rq *regionQueue, p ident.Priority, start float64) time.Duration {
	var sum time.Duration
	for _, c := range rq.classes {
		if c.priority <= strictPriority && p > strictPriority {
			sum += c.work
			continue
		}
		if p <= strictPriority && c.priority > strictPriority {
			break
		}
		headStart := start + b.priorityLag*float64(p-c.priority) - rq.virtualTimeAfter(sum)
		sum += min(c.work, time.Duration(max(0, headStart)*rq.weight*float64(time.Second)))
	}
	return sum
}

// urgentLoad returns the recent average number of running requests that take
// precedence over items of region r and priority p.
func (b *backlog) urgentLoad(now time.Time, r ident.Region, p ident.Priority) float64 {
	var sum float64
	for _, rq := range b.regionQueues {
		for _, c := range rq.classes {
			if c.priority < p && (rq.region == r || c.priority <= strictPriority) {
				sum += c.load.perSecond(now)
			}
		}
	}
	return sum
}
