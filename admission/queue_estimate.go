package admission

import (
	"time"

	"github.com/laureltally/laureltally/wire"
)

// estimate is for an item behind all waiting items of its flow.
func (q *Queue) estimate(now time.Time, e *entry) Estimate {
	var own time.Duration
	if c := q.backlog.lane(e.Region).find(e.Priority); c != nil {
		if f := c.find(e.Environment); f != nil {
			own = f.work
		}
	}
	return q.estimateBehind(now, e, own)
}

// estimateBehind is for an item behind own work of its flow.
func (q *Queue) estimateBehind(now time.Time, e *entry, own time.Duration) Estimate {
	est := Estimate{Run: scale(e.TimeToResponse, q.ratio.value)}
	if q.held {
		est.Load = max(0, q.ready.Sub(now))
	}
	ahead := q.backlog.ahead(e, own)
	if ahead == 0 && len(q.running) < q.limit.current() {
		return est
	}
	est.Wait = scale(ahead+q.residual(), 1/q.capacity(now, e))
	return est
}

// residual is the work that has to pass before a place is free.
func (q *Queue) residual() time.Duration {
	if len(q.running) < q.limit.current() {
		return 0
	}
	return q.average
}

// capacity is how many places more urgent work leaves to an item.
func (q *Queue) capacity(now time.Time, e *entry) float64 {
	places := float64(q.limit.current())
	left := places - q.backlog.urgentLoad(now, e.Region, e.Priority)
	return max(left, places*minCapacityShare)
}

// fits tells whether an offered item is expected to make its deadline, with part
// of its spare time left.
func (q *Queue) fits(now time.Time, e *entry) bool {
	if q.mayProbe(now, e) {
		return true
	}
	est := q.estimate(now, e)
	spare := e.Deadline.Sub(now) - est.Load - est.Run
	return spare >= 0 && est.Wait <= scale(spare, q.opts.WaitShare)
}

// mayProbe lets one item of guessed cost through to an idle upstream, whatever
// was learned: without it, one slow time could refuse everything for good.
func (q *Queue) mayProbe(now time.Time, e *entry) bool {
	return e.guessed && !q.held && len(q.running) == 0 && q.backlog.waiting == 0 && now.Before(e.Deadline)
}

// refusalCode is deadline if even an idle upstream would answer too late.
func (q *Queue) refusalCode(now time.Time, e *entry) wire.Code {
	if now.Add(e.TimeToResponse).After(e.Deadline) {
		return wire.CodeDeadline
	}
	return wire.CodeOverloaded
}

// retryAfter schedules the return of one refused caller.
func (q *Queue) retryAfter(now time.Time, e *entry) time.Duration {
	drain := float64(q.limit.current()) / max(q.average, time.Millisecond).Seconds()
	base := q.estimate(now, e).Load
	spare := max(drain-q.arrivals.perSecond(now), drain*minReturnShare)
	return q.returns.take(now, base, spare)
}
