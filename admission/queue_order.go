package admission

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

func (q *Queue) find(p ident.Priority) *class {
	for _, c := range q.classes {
		if c.priority == p {
			return c
		}
	}
	return nil
}

func (q *Queue) class(p ident.Priority) *class {
	if c := q.find(p); c != nil {
		return c
	}
	c := &class{priority: p}
	q.classes = append(q.classes, c)
	slices.SortFunc(q.classes, func(a, b *class) int { return int(a.priority - b.priority) })
	return c
}

func (q *Queue) push(e *entry) {
	k := flowKey{e.Region, e.Environment}
	credit := scale(q.average, float64(q.limit.current()))
	q.fair.join(k, !q.regionWaits(e.Region), credit)
	q.class(e.Priority).push(e)
	q.waiting++
}

func (q *Queue) regionWaits(r ident.Region) bool {
	for _, c := range q.classes {
		for _, f := range c.flows {
			if f.key.region == r {
				return true
			}
		}
	}
	return false
}

func (q *Queue) remove(c *class, f *flow, i int) *entry {
	q.waiting--
	return c.remove(f, i)
}

func (q *Queue) removeID(c *class, id ident.Attempt) bool {
	for _, f := range c.flows {
		for i, e := range f.items {
			if e.ID == id {
				q.remove(c, f, i)
				return true
			}
		}
	}
	return false
}

// start fills free places, the most urgent class first.
func (q *Queue) start(now time.Time, actions []Action) []Action {
	if q.held {
		return actions
	}
	for _, c := range q.classes {
		for c.waiting > 0 && len(q.running) < q.limit.current() {
			actions = append(actions, q.startNext(now, c))
		}
	}
	return actions
}

func (q *Queue) startNext(now time.Time, c *class) Action {
	f := q.fair.next(c)
	e := q.remove(c, f, 0)
	if now.After(e.latestStart(q.ratio.value)) {
		return q.refuse(now, e, wire.CodeDeadline)
	}
	e.started = now
	q.running[e.ID] = e
	q.fair.charge(f.key, e.Hold)
	c.load.add(now, e.Hold.Seconds())
	return Admit{ID: e.ID}
}

// sweep refuses items that their place in the queue makes too late.
func (q *Queue) sweep(now time.Time, actions []Action) []Action {
	for _, c := range q.classes {
		for _, f := range slices.Clone(c.flows) {
			actions = q.sweepFlow(now, c, f, actions)
		}
	}
	return actions
}

func (q *Queue) sweepFlow(now time.Time, c *class, f *flow, actions []Action) []Action {
	var own time.Duration
	for i := 0; i < len(f.items); {
		e := f.items[i]
		if q.estimateBehind(now, e, own).Fits(now, e.Deadline) {
			own += e.Hold
			i++
			continue
		}
		q.remove(c, f, i)
		actions = append(actions, q.refuse(now, e, wire.CodeDeadline))
	}
	return actions
}

// evict makes room: the newest item of the region that has most waiting for its
// share, within the least urgent class.
func (q *Queue) evict(now time.Time) Action {
	i := len(q.classes) - 1
	for q.classes[i].waiting == 0 {
		i--
	}
	c := q.classes[i]
	longest := slices.MaxFunc(c.flows, func(a, b *flow) int {
		return int(q.backlog(a) - q.backlog(b))
	})
	return q.refuse(now, q.remove(c, longest, len(longest.items)-1), wire.CodeOverloaded)
}

func (q *Queue) backlog(f *flow) time.Duration {
	return scale(f.work, 1/q.fair.weight(f.key.region))
}

func (q *Queue) refuse(now time.Time, e *entry, code wire.Code) Refuse {
	return Refuse{ID: e.ID, Code: code, RetryAfter: q.retryAfter(now, e)}
}

// learn takes the run time of a finished request.
func (q *Queue) learn(now time.Time, e *entry, r Result, saturated bool) {
	switch r {
	case Succeeded:
		took := now.Sub(e.started)
		relative := float64(took) / float64(e.Hold)
		q.average += scale(took-q.average, averageWeight)
		q.ratio.observe(relative)
		if saturated {
			q.limit.observe(took)
		}
	case Rejected:
		q.limit.decrease()
	}
}
