package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

const (
	// tickInterval is how often the estimates of waiting items are updated.
	tickInterval = 50 * time.Millisecond
	// averageWeight is the weight of one request in the average run time.
	averageWeight = 0.05
	// startQuantile is the quantile of the run time that must fit before the
	// deadline when an item starts.
	startQuantile = 0.99
	// minCapacityShare is the least fraction of the concurrency that estimates
	// assume urgent work leaves to less urgent work.
	minCapacityShare = 0.05
)

// Queue admits and refuses the requests of one upstream. Create one with New.
type Queue struct {
	opts           Options
	limit          concurrencyLimit
	backlog        backlog
	running        map[ident.Attempt]*entry
	averageRunTime time.Duration
	finished       int
	runTimeRatio   quantile
	arrivalRate    decayingRate
	retries        retrySchedule
	paused         bool
	readyAt        time.Time
	draining       bool
}

// New returns an empty queue. It fails with an *OptionError.
func New(o Options) (*Queue, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Queue{
		opts:           o,
		limit:          newConcurrencyLimit(o.MinConcurrency, o.Concurrency, o.FixedConcurrency),
		running:        make(map[ident.Attempt]*entry),
		averageRunTime: o.Cost,
		runTimeRatio:   newQuantile(startQuantile, 1),
		retries:        retrySchedule{minDelay: o.MinRetryAfter, maxDelay: o.MaxRetryAfter, rand: o.Rand},
	}, nil
}

// Offer requests a reservation for an item. The returned actions may admit or
// refuse it or concern other items; if none names it, it waits. Its ID must not
// be that of an item that waits or runs.
func (q *Queue) Offer(now time.Time, it Item) []Action {
	e := q.entry(it)
	q.arrivalRate.add(now, 1)
	if q.draining {
		return []Action{q.refuse(now, e, wire.CodeDraining)}
	}
	if !q.fits(now, e) {
		return []Action{q.refuse(now, e, q.refusalCode(now, e))}
	}
	q.push(e)
	actions := q.startWaiting(now, nil)
	if q.backlog.waiting > q.opts.MaxWaiting {
		actions = append(actions, q.evict(now))
	}
	return actions
}

// Finish releases the reservation of an admitted item.
func (q *Queue) Finish(now time.Time, id ident.Attempt, r Result) []Action {
	e := q.running[id]
	if e == nil {
		return nil
	}
	saturated := len(q.running) >= q.limit.current()
	delete(q.running, id)
	q.recordResult(now, e, r, saturated)
	return q.Tick(now)
}

// Cancel removes a waiting or running item whose caller has disconnected.
func (q *Queue) Cancel(now time.Time, id ident.Attempt) []Action {
	if q.running[id] != nil {
		return q.Finish(now, id, Failed)
	}
	q.removeID(id)
	return q.Tick(now)
}

// Tick refuses waiting items that can no longer meet their deadline and admits
// items up to the limit.
func (q *Queue) Tick(now time.Time) []Action {
	return q.startWaiting(now, q.refuseLate(now, nil))
}

// NextTick returns when to call Tick next, or false if nothing waits.
func (q *Queue) NextTick(now time.Time) (time.Time, bool) {
	if q.backlog.waiting == 0 {
		return time.Time{}, false
	}
	return now.Add(tickInterval), true
}

// Pause stops admitting items until Resume, because the model is not loaded. The
// load is expected to end at readyAt; items that cannot wait that long are
// refused.
func (q *Queue) Pause(now, readyAt time.Time) []Action {
	q.paused, q.readyAt = true, readyAt
	return q.Tick(now)
}

// Resume admits items again after Pause.
func (q *Queue) Resume(now time.Time) []Action {
	q.paused = false
	return q.Tick(now)
}

// Drain refuses all waiting and all later items. Running items continue.
func (q *Queue) Drain(now time.Time) []Action {
	q.draining = true
	return q.RefuseAll(now, wire.CodeDraining)
}

// RefuseAll refuses all waiting items, for example after a failed load.
func (q *Queue) RefuseAll(now time.Time, code wire.Code) []Action {
	var actions []Action
	for at, ok := q.backlog.next(); ok; at, ok = q.backlog.next() {
		actions = append(actions, q.refuse(now, q.backlog.remove(at, 0), code))
	}
	return actions
}

// SetConcurrency changes the configured concurrency of the upstream. Values
// below one count as one.
func (q *Queue) SetConcurrency(now time.Time, n int) []Action {
	q.limit.setCeiling(max(1, n))
	return q.Tick(now)
}

// SetWeights sets the share of the upstream that each region is entitled to;
// see RegionWeights. Nil means equal shares.
func (q *Queue) SetWeights(w map[ident.Region]float64) { q.backlog.setWeights(w) }

// Estimate returns the estimate that an item would get if it were offered now.
func (q *Queue) Estimate(now time.Time, it Item) Estimate {
	return q.estimate(now, q.entry(it))
}

// Stats returns a snapshot.
func (q *Queue) Stats() Stats {
	return Stats{Running: len(q.running), Waiting: q.backlog.waiting, Limit: q.limit.current(), RunTime: q.runTime()}
}

func (q *Queue) runTime() time.Duration {
	if q.finished == 0 {
		return 0
	}
	return q.averageRunTime
}

// WaitingByPriority returns the number of waiting items of each priority, from
// zero on, for wire.Report.
func (q *Queue) WaitingByPriority() []int {
	var counts []int
	q.backlog.each(func(at position) bool {
		p := max(0, int(at.class.priority))
		for len(counts) <= p {
			counts = append(counts, 0)
		}
		counts[p] += len(at.flow.items)
		return true
	})
	return counts
}

func (q *Queue) entry(it Item) *entry {
	responseTimeUnknown := it.TimeToResponse <= 0
	if responseTimeUnknown {
		it.TimeToResponse = q.averageRunTime
	}
	if it.RunTime <= 0 {
		it.RunTime = it.TimeToResponse
	}
	return &entry{Item: it, responseTimeUnknown: responseTimeUnknown}
}
