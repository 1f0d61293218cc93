package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

func (q *Queue) push(e *entry) {
	q.backlog.priorityLag = q.opts.PriorityLag.Seconds() * float64(q.limit.current())
	q.backlog.push(e, q.backlog.priorityLag)
}

func (q *Queue) removeID(id ident.Attempt) {
	q.backlog.each(func(at position) bool {
		for i, e := range at.flow.items {
			if e.ID == id {
				q.backlog.remove(at, i)
				return false
			}
		}
		return true
	})
}

// startWaiting starts items up to the limit. Items that would be late have been
// refused before.
func (q *Queue) startWaiting(now time.Time, actions []Action) []Action {
	for !q.paused && len(q.running) < q.limit.current() {
		at, ok := q.backlog.next()
		if !ok {
			break
		}
		actions = append(actions, q.startNext(now, at))
	}
	return actions
}

func (q *Queue) startNext(now time.Time, at position) Action {
	e := q.backlog.remove(at, 0)
	e.started = now
	q.running[e.ID] = e
	q.backlog.charge(now, at, e)
	return Admit{ID: e.ID}
}

// refuseLate refuses items that are expected to miss their deadline.
func (q *Queue) refuseLate(now time.Time, actions []Action) []Action {
	q.backlog.each(func(at position) bool {
		actions = q.refuseLateInFlow(now, at, actions)
		return true
	})
	return actions
}

func (q *Queue) refuseLateInFlow(now time.Time, at position, actions []Action) []Action {
	var sameFlow time.Duration
	for i := 0; i < len(at.flow.items); {
		e := at.flow.items[i]
		if q.estimateBehind(now, e, sameFlow).Fits(now, e.Deadline) {
			sameFlow += e.RunTime
			i++
			continue
		}
		q.backlog.remove(at, i)
		actions = append(actions, q.refuse(now, e, wire.CodeDeadline))
	}
	return actions
}

// evict refuses the item that would start last.
func (q *Queue) evict(now time.Time) Action {
	at := q.backlog.lastToStart()
	return q.refuse(now, q.backlog.remove(at, len(at.flow.items)-1), wire.CodeOverloaded)
}

func (q *Queue) refuse(now time.Time, e *entry, code wire.Code) Refuse {
	return Refuse{ID: e.ID, Code: code, RetryAfter: q.retryAfter(now, e)}
}

// recordResult updates the estimates and the limit with the result of a
// request.
func (q *Queue) recordResult(now time.Time, e *entry, r Result, saturated bool) {
	switch r {
	case Succeeded:
		runTime := now.Sub(e.started)
		q.finished++
		q.averageRunTime += scale(runTime-q.averageRunTime, max(averageWeight, 1/float64(q.finished)))
		q.runTimeRatio.observe(float64(runTime) / float64(e.RunTime))
		if saturated {
			q.limit.observe(runTime)
		}
	case Rejected:
		q.limit.decrease()
	}
}
