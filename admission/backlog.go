package admission

import (
	"math"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// minWeight keeps a region with a weight of zero from starving.
	minWeight = 0.02
	// strictPriority is the priority that always starts first, regardless of how
	// much its region has started.
	strictPriority ident.Priority = 0
	// maxLeadSteps bounds how far the virtual time of a region may run ahead of
	// the others, in steps of priorityLag. It is more than differences of
	// priority can make up for: a region at the bound still yields to items of
	// others that are up to maxLeadSteps-1 priorities less urgent.
	maxLeadSteps = 8
)

// backlog holds the waiting items of all regions. Items of strictPriority start
// first. Below it, regions share the upstream by start-time fair queueing over
// all their work. A less urgent item of one region overtakes a more urgent item
// of another only if its region is behind by more than priorityLag of virtual
// time per priority step.
type backlog struct {
	regionQueues []*regionQueue
	weights      map[ident.Region]float64
	// now is the system virtual time: the least virtual time of the regions with
	// waiting items, as of the last start. It never decreases.
	now         float64
	priorityLag float64
	waiting     int
}

func (b *backlog) regionQueue(r ident.Region) *regionQueue {
	for _, rq := range b.regionQueues {
		if rq.region == r {
			return rq
		}
	}
	rq := &regionQueue{region: r, weight: b.weight(r), virtualTime: b.now}
	b.regionQueues = append(b.regionQueues, rq)
	slices.SortFunc(b.regionQueues, func(x, y *regionQueue) int {
		if x.region < y.region {
			return -1
		}
		return 1
	})
	return rq
}

func (b *backlog) weight(r ident.Region) float64 {
	if b.weights == nil {
		return 1
	}
	return max(minWeight, b.weights[r])
}

func (b *backlog) setWeights(w map[ident.Region]float64) {
	b.weights = w
	for _, rq := range b.regionQueues {
		rq.weight = b.weight(rq.region)
		rq.virtualTime = b.now
	}
}

// push adds an item. A region that had no waiting items may catch up on at most
// credit seconds of virtual time for the time without any.
func (b *backlog) push(e *entry, credit float64) {
	rq := b.regionQueue(e.Region)
	if rq.waiting == 0 {
		rq.virtualTime = max(rq.virtualTime, b.now-credit)
	}
	rq.class(e.Priority).push(e)
	rq.waiting++
	rq.work += e.RunTime
	b.waiting++
}

func (b *backlog) remove(at position, i int) *entry {
	e := at.class.remove(at.flow, i)
	at.regionQueue.waiting--
	at.regionQueue.work -= e.RunTime
	b.waiting--
	return e
}

// rank returns the sort key of the first item of a class; the lowest starts
// first.
func (b *backlog) rank(rq *regionQueue, c *class) float64 {
	if c.priority <= strictPriority {
		return math.Inf(-1)
	}
	return rq.virtualTime + b.priorityLag*float64(c.priority)
}

// next returns the position of the item that starts next.
func (b *backlog) next() (position, bool) {
	var best position
	var bestRank float64
	for _, rq := range b.regionQueues {
		c := rq.mostUrgent()
		if c == nil {
			continue
		}
		rank := b.rank(rq, c)
		if best.regionQueue == nil || rank < bestRank || rank == bestRank && rq.virtualTime < best.regionQueue.virtualTime {
			best, bestRank = position{regionQueue: rq, class: c}, rank
		}
	}
	if best.regionQueue == nil {
		return position{}, false
	}
	best.flow = best.class.next()
	return best, true
}

// charge adds the work of a starting item to its region, flow and class.
func (b *backlog) charge(now time.Time, at position, e *entry) {
	b.now = max(b.now, b.minVirtualTime(at.regionQueue))
	at.regionQueue.virtualTime = min(at.regionQueue.virtualTimeAfter(e.RunTime), b.now+maxLeadSteps*b.priorityLag)
	at.flow.started += e.RunTime
	at.class.load.add(now, e.RunTime.Seconds())
}

// minVirtualTime returns the least virtual time of served and of the regions
// with waiting items.
func (b *backlog) minVirtualTime(served *regionQueue) float64 {
	minVirtualTime := served.virtualTime
	for _, rq := range b.regionQueues {
		if rq.waiting > 0 {
			minVirtualTime = min(minVirtualTime, rq.virtualTime)
		}
	}
	return minVirtualTime
}

// lastToStart returns the position of the item that would start last: the
// newest item of the largest flow in the least urgent class of one region. That
// is the region which, after starting all its waiting work, would be furthest
// ahead in virtual time plus priorityLag for each priority step of that class.
func (b *backlog) lastToStart() position {
	var worst position
	var worstRank float64
	for _, rq := range b.regionQueues {
		c := rq.leastUrgent()
		if c == nil {
			continue
		}
		rank := rq.virtualTimeAfter(rq.work) + b.priorityLag*float64(c.priority)
		if worst.regionQueue == nil || rank > worstRank {
			worst, worstRank = position{regionQueue: rq, class: c}, rank
		}
	}
	worst.flow = slices.MaxFunc(worst.class.flows, func(x, y *flow) int { return int(x.work - y.work) })
	return worst
}

// each calls f for every position with waiting items until f returns false.
func (b *backlog) each(f func(position) bool) {
	for _, rq := range b.regionQueues {
		for _, c := range rq.classes {
			for _, fl := range c.flows {
				if len(fl.items) > 0 && !f(position{rq, c, fl}) {
					return
				}
			}
		}
	}
}
