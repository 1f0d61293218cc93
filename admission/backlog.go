package admission

import (
	"math"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// minWeight keeps a region without an entitlement from starving.
	minWeight = 0.02
	// strictPriority is the priority that goes first whatever its region has had.
	strictPriority ident.Priority = 0
	// maxDebt bounds how far a lane may run ahead of the others, in steps of
	// bias. It is more than the priorities can make up for.
	maxDebt = 8
)

// backlog is the waiting items of all regions. Strict priority goes first. Below
// it, regions share by start-time fair queueing over all their work, and a less
// urgent item of one region passes a more urgent one of another only when its
// region has had bias less virtual time for each step of priority.
type backlog struct {
	lanes   []*lane
	weights map[ident.Region]float64
	// now is the least virtual time of the lanes with items.
	now     float64
	bias    float64
	waiting int
}

func (b *backlog) lane(r ident.Region) *lane {
	for _, l := range b.lanes {
		if l.region == r {
			return l
		}
	}
	l := &lane{region: r, weight: b.weight(r), virtual: b.now}
	b.lanes = append(b.lanes, l)
	slices.SortFunc(b.lanes, func(x, y *lane) int {
		if x.region < y.region {
			return -1
		}
		return 1
	})
	return l
}

func (b *backlog) weight(r ident.Region) float64 {
	if b.weights == nil {
		return 1
	}
	return max(minWeight, b.weights[r])
}

func (b *backlog) setWeights(w map[ident.Region]float64) {
	b.weights = w
	for _, l := range b.lanes {
		l.weight = b.weight(l.region)
		l.virtual = b.now
	}
}

// push adds an item. A lane that had nothing waiting makes up for at most credit
// place-seconds of the time before.
func (b *backlog) push(e *entry, credit float64) {
	l := b.lane(e.Region)
	if l.waiting == 0 {
		l.virtual = max(l.virtual, b.now-credit)
	}
	l.class(e.Priority).push(e)
	l.waiting++
	l.work += e.RunTime
	b.waiting++
}

func (b *backlog) remove(at place, i int) *entry {
	e := at.class.remove(at.flow, i)
	at.lane.waiting--
	at.lane.work -= e.RunTime
	b.waiting--
	return e
}

// rank orders the heads of lanes, least first.
func (b *backlog) rank(l *lane, c *class) float64 {
	if c.priority <= strictPriority {
		return math.Inf(-1)
	}
	return l.virtual + b.bias*float64(c.priority)
}

// next is the place of the item whose turn it is.
func (b *backlog) next() (place, bool) {
	var best place
	var bestRank float64
	for _, l := range b.lanes {
		c := l.urgent()
		if c == nil {
			continue
		}
		rank := b.rank(l, c)
		if best.lane == nil || rank < bestRank || rank == bestRank && l.virtual < best.lane.virtual {
			best, bestRank = place{lane: l, class: c}, rank
		}
	}
	if best.lane == nil {
		return place{}, false
	}
	best.flow = best.class.next()
	return best, true
}

// charge counts an item that starts.
func (b *backlog) charge(now time.Time, at place, e *entry) {
	b.now = max(b.now, b.least(at.lane))
	at.lane.virtual = min(at.lane.virtualAfter(e.RunTime), b.now+maxDebt*b.bias)
	at.flow.started += e.RunTime
	at.class.load.add(now, e.RunTime.Seconds())
}

// least is the least virtual time of the lanes with items and of served.
func (b *backlog) least(served *lane) float64 {
	least := served.virtual
	for _, l := range b.lanes {
		if l.waiting > 0 {
			least = min(least, l.virtual)
		}
	}
	return least
}

// last is the place of the item that would start last: the newest of the least
// urgent flow of the lane that is furthest ahead.
func (b *backlog) last() place {
	var worst place
	var worstRank float64
	for _, l := range b.lanes {
		c := l.leastUrgent()
		if c == nil {
			continue
		}
		rank := l.virtualAfter(l.work) + b.bias*float64(c.priority)
		if worst.lane == nil || rank > worstRank {
			worst, worstRank = place{lane: l, class: c}, rank
		}
	}
	worst.flow = slices.MaxFunc(worst.class.flows, func(x, y *flow) int { return int(x.work - y.work) })
	return worst
}

// each calls f for the places with items, until it returns false.
func (b *backlog) each(f func(place) bool) {
	for _, l := range b.lanes {
		for _, c := range l.classes {
			for _, fl := range c.flows {
				if len(fl.items) > 0 && !f(place{l, c, fl}) {
					return
				}
			}
		}
	}
}
