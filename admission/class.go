package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// class is the waiting items of one priority of one region.
type class struct {
	priority ident.Priority
	flows    []*flow
	waiting  int
	work     time.Duration
	// load is the work that the class has started lately, in places.
	load decayingRate
}

// flow returns the flow of an environment. A new one, or one that had nothing
// waiting, does not make up for the time before.
func (c *class) flow(env ident.Environment) *flow {
	f := c.find(env)
	if f == nil {
		f = &flow{environment: env}
		c.flows = append(c.flows, f)
	}
	if len(f.items) == 0 {
		f.started = max(f.started, c.leastStarted(f))
	}
	return f
}

func (c *class) find(env ident.Environment) *flow {
	for _, f := range c.flows {
		if f.environment == env {
			return f
		}
	}
	return nil
}

func (c *class) leastStarted(but *flow) time.Duration {
	var least time.Duration
	found := false
	for _, f := range c.flows {
		if f != but && len(f.items) > 0 && (!found || f.started < least) {
			least, found = f.started, true
		}
	}
	return least
}

func (c *class) push(e *entry) {
	c.flow(e.Environment).push(e)
	c.waiting++
	c.work += e.RunTime
}

func (c *class) remove(f *flow, i int) *entry {
	e := f.removeAt(i)
	c.waiting--
	c.work -= e.RunTime
	return e
}

// next is the flow whose turn it is: the one that has started least.
func (c *class) next() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.items) > 0 && (best == nil || f.started < best.started) {
			best = f
		}
	}
	return best
}

// ahead is the work of the class that starts before an item of env that has own
// work of its flow before it.
func (c *class) ahead(env ident.Environment, own time.Duration) time.Duration {
	sum := own
	for _, f := range c.flows {
		if f.environment != env {
			sum += min(f.work, own)
		}
	}
	return sum
}
