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

func (rq *regionQueue) class(p ident.Priority) *class {
	if c := rq.find(p); c != nil {
		return c
	}
	c := &class{priority: p}
	rq.classes = append(rq.classes, c)
	slices.SortFunc(rq.classes, func(a, b *class) int { return int(a.priority - b.priority) })
	return c
}

func (rq *regionQueue) find(p ident.Priority) *class {
	for _, c := range rq.classes {
		if c.priority == p {
			return c
		}
	}
	return nil
}

// mostUrgent returns the most urgent class with waiting items, or nil.
func (rq *regionQueue) mostUrgent() *class {
	for _, c := range rq.classes {
		if c.waiting > 0 {
			return c
		}
	}
	return nil
}

// leastUrgent returns the least urgent class with waiting items, or nil.
func (rq *regionQueue) leastUrgent() *class {
	for _, c := range slices.Backward(rq.classes) {
		if c.waiting > 0 {
			return c
		}
	}
	return nil
}

// virtualTimeAfter returns the virtual time that the region has after starting
// work.
func (rq *regionQueue) virtualTimeAfter(work time.Duration) float64 {
	return rq.virtualTime + work.Seconds()/rq.weight
}
