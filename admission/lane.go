package admission

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// lane is the waiting items of one region, by priority.
type lane struct {
	region ident.Region
	// weight is the region's share of the upstream.
	weight float64
	// virtual is the work that the region has started, in place-seconds for each
	// unit of weight.
	virtual float64
	classes []*class
	waiting int
	work    time.Duration
}

func (l *lane) class(p ident.Priority) *class {
	if c := l.find(p); c != nil {
		return c
	}
	c := &class{priority: p}
	l.classes = append(l.classes, c)
	slices.SortFunc(l.classes, func(a, b *class) int { return int(a.priority - b.priority) })
	return c
}

func (l *lane) find(p ident.Priority) *class {
	for _, c := range l.classes {
		if c.priority == p {
			return c
		}
	}
	return nil
}

// urgent is the most urgent class with an item, or nil.
func (l *lane) urgent() *class {
	for _, c := range l.classes {
		if c.waiting > 0 {
			return c
		}
	}
	return nil
}

// leastUrgent is the least urgent class with an item, or nil.
func (l *lane) leastUrgent() *class {
	for _, c := range slices.Backward(l.classes) {
		if c.waiting > 0 {
			return c
		}
	}
	return nil
}

// virtualAfter is the virtual time once work has started.
func (l *lane) virtualAfter(work time.Duration) float64 {
	return l.virtual + work.Seconds()/l.weight
}
