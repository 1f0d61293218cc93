package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// class holds the waiting items of one priority of one region.
type class struct {
	priority ident.Priority
	flows    []*flow
	waiting  int
	work     time.Duration
	// load is the run time started per second, averaged over the recent past.
	load decayingRate
}

// flow returns the flow of an environment. A flow that is new or had no waiting
// items does not catch up on the time before.
func (c *class) flow(env ident.Environment) *flow {
	f := c.find(env)
	if f == nil {
		f = &flow{environment: env}
		c.flows = append(c.flows, f)
	}
	if len(f.items) == 0 {
		f.started = max(f.started, c.minStarted(f))
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

func (c *class) minStarted(excluded *flow) time.Duration {
	var least time.Duration
	found := false
	for _, f := range c.flows {
		if f != excluded && len(f.items) > 0 && (!found || f.started < least) {
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

// next returns the flow with waiting items that has started the least work.
func (c *class) next() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.items) > 0 && (best == nil || f.started < best.started) {
			best = f
		}
	}
	return best
}

// ahead returns the work of the class that starts before an item of env.
// sameFlow is the work of the same flow that is queued before the item.
func (c *class) ahead(env ident.Environment, sameFlow time.Duration) time.Duration {
	sum := sameFlow
	for _, f := range c.flows {
		if f.environment != env {
			sum += min(f.work, sameFlow)
		}
	}
	return sum
}
