package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// class is the waiting items of one priority, as flows in order of arrival.
type class struct {
	priority ident.Priority
	flows    []*flow
	waiting  int
	work     time.Duration
	// load is the work that the class has started lately, in places.
	load decayingRate
}

func (c *class) flow(k flowKey) *flow {
	for _, f := range c.flows {
		if f.key == k {
			return f
		}
	}
	f := &flow{key: k}
	c.flows = append(c.flows, f)
	return f
}

func (c *class) push(e *entry) {
	c.flow(flowKey{e.Region, e.Environment}).push(e)
	c.waiting++
	c.work += e.Hold
}

func (c *class) remove(f *flow, i int) *entry {
	e := f.removeAt(i)
	c.waiting--
	c.work -= e.Hold
	if len(f.items) == 0 {
		c.drop(f)
	}
	return e
}

func (c *class) drop(f *flow) {
	for i, g := range c.flows {
		if g == f {
			c.flows = append(c.flows[:i], c.flows[i+1:]...)
			return
		}
	}
}

// regionWork is the waiting work of one region.
func (c *class) regionWork(r ident.Region) time.Duration {
	var sum time.Duration
	for _, f := range c.flows {
		if f.key.region == r {
			sum += f.work
		}
	}
	return sum
}

// firstOfRegion tells whether no flow before the i-th is of the same region.
func (c *class) firstOfRegion(i int) bool {
	for _, f := range c.flows[:i] {
		if f.key.region == c.flows[i].key.region {
			return false
		}
	}
	return true
}
