package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

func (q *Queue) push(e *entry) {
	q.backlog.bias = q.opts.PriorityLag.Seconds() * float64(q.limit.current())
	q.backlog.push(e, q.backlog.bias)
}

func (q *Queue) removeID(id ident.Attempt) {
	q.backlog.each(func(at place) bool {
		for i, e := range at.flow.items {
			if e.ID == id {
				q.backlog.remove(at, i)
				return false
			}
		}
		return true
	})
}

// start fills free places. Items that would be too late have been swept before.
func (q *Queue) start(now time.Time, actions []Action) []Action {
	for !q.held && len(q.running) < q.limit.current() {
		at, ok := q.backlog.next()
		if !ok {
			break
		}
		actions = append(actions, q.startNext(now, at))
	}
	return actions
}

func (q *Queue) startNext(now time.Time, at place) Action {
	e := q.backlog.remove(at, 0)
	e.started = now
	q.running[e.ID] = e
	q.backlog.charge(now, at, e)
	return Admit{ID: e.ID}
}

// sweep refuses items that their place in the queue makes too late.
func (q *Queue) sweep(now time.Time, actions []Action) []Action {
	q.backlog.each(func(at place) bool {
		actions = q.sweepFlow(now, at, actions)
		return true
	})
	return actions
}

func (q *Queue) sweepFlow(now time.Time, at place, actions []Action) []Action {
	var own time.Duration
	for i := 0; i < len(at.flow.items); {
		e := at.flow.items[i]
		if q.estimateBehind(now, e, own).Fits(now, e.Deadline) {
			own += e.RunTime
			i++
			continue
		}
		q.backlog.remove(at, i)
		actions = append(actions, q.refuse(now, e, wire.CodeDeadline))
	}
	return actions
}

// evict makes room by refusing the item that would start last.
func (q *Queue) evict(now time.Time) Action {
	at := q.backlog.last()
	return q.refuse(now, q.backlog.remove(at, len(at.flow.items)-1), wire.CodeOverloaded)
}

func (q *Queue) refuse(now time.Time, e *entry, code wire.Code) Refuse {
	return Refuse{ID: e.ID, Code: code, RetryAfter: q.retryAfter(now, e)}
}

// learn takes the run time of a finished request.
func (q *Queue) learn(now time.Time, e *entry, r Result, saturated bool) {
	switch r {
	case Succeeded:
		took := now.Sub(e.started)
		q.seen++
		q.average += scale(took-q.average, max(averageWeight, 1/float64(q.seen)))
		q.ratio.observe(float64(took) / float64(e.RunTime))
		if saturated {
			q.limit.observe(took)
		}
	case Rejected:
		q.limit.decrease()
	}
}
