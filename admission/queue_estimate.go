package admission

import (
	"time"

	"github.com/laureltally/laureltally/wire"
)

// estimate returns the estimate for an item behind all waiting items of its
// flow.
func (q *Queue) estimate(now time.Time, e *entry) Estimate {
	var sameFlow time.Duration
	if c := q.backlog.regionQueue(e.Region).find(e.Priority); c != nil {
		if f := c.find(e.Environment); f != nil {
			sameFlow = f.work
		}
	}
	return q.estimateBehind(now, e, sameFlow)
}

// estimateBehind returns the estimate for an item. sameFlow is the work of its
// flow that is queued before it.
func (q *Queue) estimateBehind(now time.Time, e *entry, sameFlow time.Duration) Estimate {
	est := Estimate{Run: scale(e.TimeToResponse, q.runTimeRatio.value)}
	if q.paused {
		est.Load = max(0, q.readyAt.Sub(now))
	}
	ahead := q.backlog.ahead(e, sameFlow)
	if ahead == 0 && len(q.running) < q.limit.current() {
		return est
	}
	est.Wait = scale(ahead+q.residual(), 1/q.capacity(now, e))
	return est
}

// residual returns the expected work until a running request ends, or zero if
// the limit is not reached.
func (q *Queue) residual() time.Duration {
	if len(q.running) < q.limit.current() {
		return 0
	}
	return q.averageRunTime
}

// capacity returns the concurrency that more urgent work is expected to leave
// to an item.
func (q *Queue) capacity(now time.Time, e *entry) float64 {
	concurrency := float64(q.limit.current())
	left := concurrency - q.backlog.urgentLoad(now, e.Region, e.Priority)
	return max(left, concurrency*minCapacityShare)
}

// fits reports whether an offered item is expected to meet its deadline within
// the allowed share of its slack.
func (q *Queue) fits(now time.Time, e *entry) bool {
	if q.mayProbe(now, e) {
		return true
	}
	est := q.estimate(now, e)
	slack := e.Deadline.Sub(now) - est.Load - est.Run
	return slack >= 0 && est.Wait <= scale(slack, q.opts.WaitShare)
}

// mayProbe reports whether an item without TimeToResponse is admitted to an idle
// upstream regardless of the estimates. Otherwise a single slow request could
// raise the average run time so far that all later ones are refused for good.
func (q *Queue) mayProbe(now time.Time, e *entry) bool {
	return e.responseTimeUnknown && !q.paused && len(q.running) == 0 && q.backlog.waiting == 0 && now.Before(e.Deadline)
}

// refusalCode returns wire.CodeDeadline if even an idle upstream would respond
// too late, and else wire.CodeOverloaded.
func (q *Queue) refusalCode(now time.Time, e *entry) wire.Code {
	if now.Add(e.TimeToResponse).After(e.Deadline) {
		return wire.CodeDeadline
	}
	return wire.CodeOverloaded
}

// retryAfter schedules the retry of a refused caller.
func (q *Queue) retryAfter(now time.Time, e *entry) time.Duration {
	drainRate := float64(q.limit.current()) / max(q.averageRunTime, time.Millisecond).Seconds()
	minDelay := q.estimate(now, e).Load
	spareRate := max(drainRate-q.arrivalRate.perSecond(now), drainRate*minRetryShare)
	return q.retries.reserve(now, minDelay, spareRate)
}
