package admission

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// regionQueue holds the waiting items of one region, by priority.
type regionQueue struct {
	region ident.Region
	// weight is the share of the upstream that the region is entitled to.
	weight float64
	// virtualTime is the run time of the work that the region has started, in
	// seconds per unit of weight.
	virtualTime float64
	classes     []*class
	waiting     int
	work        time.Duration
}

func (l *regionQueue) class(p ident.Priority) *class {
	if c := l.find(p); c != nil {
		return c
	}
	c := &class{priority: p}
	l.classes = append(l.classes, c)
	slices.SortFunc(l.classes, func(a, b *class) int { return int(a.priority - b.priority) })
	return c
}

func (l *regionQueue) find(p ident.Priority) *class {
	for _, c := range l.classes {
		if c.priority == p {
			return c
		}
	}
	return nil
}

// mostUrgent returns the most urgent class with waiting items, or nil.
func (l *regionQueue) mostUrgent() *class {
	for _, c := range l.classes {
		if c.waiting > 0 {
			return c
		}
	}
	return nil
}

// leastUrgent returns the least urgent class with waiting items, or nil.
func (l *regionQueue) leastUrgent() *class {
	for _, c := range slices.Backward(l.classes) {
		if c.waiting > 0 {
			return c
		}
	}
	return nil
}

// virtualTimeAfter returns the virtual time after starting more work.
func (l *regionQueue) virtualTimeAfter(work time.Duration) float64 {
	return l.virtualTime + work.Seconds()/l.weight
}
