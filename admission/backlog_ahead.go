package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// ahead is the work that starts before an item with own work of its flow before
// it.
func (b *backlog) ahead(e *entry, own time.Duration) time.Duration {
	l := b.lane(e.Region)
	sum := l.ahead(e, own)
	start := l.virtualAfter(sum)
	for _, other := range b.lanes {
		if other != l {
			sum += b.aheadOfLane(other, e.Priority, start)
		}
	}
	return sum
}

// ahead is the work of the same region that starts first.
func (l *lane) ahead(e *entry, own time.Duration) time.Duration {
	var sum time.Duration
	for _, c := range l.classes {
		switch {
		case c.priority < e.Priority:
			sum += c.work
		case c.priority == e.Priority:
			sum += c.ahead(e.Environment, own)
		}
	}
	return sum
}

// aheadOfLane is the work of another region that starts before an item of
// priority p whose turn comes at the virtual time start.
func (b *backlog) aheadOfLane(l *lane, p ident.Priority, start float64) time.Duration {
	var sum time.Duration
	for _, c := range l.classes {
		if c.priority <= strictPriority && p > strictPriority {
			sum += c.work
			continue
		}
		if p <= strictPriority && c.priority > strictPriority {
			break
		}
		turn := start + b.bias*float64(p-c.priority) - l.virtualAfter(sum)
		sum += min(c.work, time.Duration(max(0, turn)*l.weight*float64(time.Second)))
	}
	return sum
}

// urgentLoad is the work in places that lately started ahead of items of a
// region and priority.
func (b *backlog) urgentLoad(now time.Time, r ident.Region, p ident.Priority) float64 {
	var sum float64
	for _, l := range b.lanes {
		for _, c := range l.classes {
			if c.priority < p && (l.region == r || c.priority <= strictPriority) {
				sum += c.load.perSecond(now)
			}
		}
	}
	return sum
}
