package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

const (
	// sweepInterval is how often estimates of waiting items are renewed.
	sweepInterval = 50 * time.Millisecond
	// averageWeight is the weight of one request in the average place time.
	averageWeight = 0.05
	// startQuantile is the quantile of run times that has to fit before the
	// deadline when an item starts.
	startQuantile = 0.99
	// minCapacityShare is the least share of places that urgent work is expected
	// to leave to less urgent work.
	minCapacityShare = 0.05
)

// Queue decides in front of one upstream. Create one with New.
type Queue struct {
	opts     Options
	limit    concurrencyLimit
	backlog  backlog
	running  map[ident.Attempt]*entry
	average  time.Duration
	seen     int
	ratio    quantile
	arrivals decayingRate
	returns  schedule
	held     bool
	ready    time.Time
	draining bool
}

// New returns an empty queue. It fails with an *OptionError.
func New(o Options) (*Queue, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Queue{
		opts:    o,
		limit:   newConcurrencyLimit(o.MinConcurrency, o.Concurrency, o.FixedConcurrency),
		running: make(map[ident.Attempt]*entry),
		average: o.Cost,
		ratio:   newQuantile(startQuantile, 1),
		returns: schedule{least: o.MinRetryAfter, most: o.MaxRetryAfter, rand: o.Rand},
	}, nil
}

// Offer asks for a place. The returned actions may admit or refuse it, concern
// other items, or be empty: then the item waits. An ID must not be offered
// while the queue knows it.
func (q *Queue) Offer(now time.Time, it Item) []Action {
	e := q.entry(it)
	q.arrivals.add(now, 1)
	if q.draining {
		return []Action{q.refuse(now, e, wire.CodeDraining)}
	}
	if !q.fits(now, e) {
		return []Action{q.refuse(now, e, q.refusalCode(now, e))}
	}
	q.push(e)
	actions := q.start(now, nil)
	if q.backlog.waiting > q.opts.MaxWaiting {
		actions = append(actions, q.evict(now))
	}
	return actions
}

// Finish frees the place of an admitted item.
func (q *Queue) Finish(now time.Time, id ident.Attempt, r Result) []Action {
	e := q.running[id]
	if e == nil {
		return nil
	}
	saturated := len(q.running) >= q.limit.current()
	delete(q.running, id)
	q.learn(now, e, r, saturated)
	return q.Tick(now)
}

// Cancel forgets an item, waiting or admitted, whose caller is gone.
func (q *Queue) Cancel(now time.Time, id ident.Attempt) []Action {
	if q.running[id] != nil {
		return q.Finish(now, id, Failed)
	}
	q.removeID(id)
	return q.Tick(now)
}

// Tick refuses waiting items that can no longer make their deadline and fills
// free places.
func (q *Queue) Tick(now time.Time) []Action {
	return q.start(now, q.sweep(now, nil))
}

// NextTick returns when Tick is due, or false while nothing waits.
func (q *Queue) NextTick(now time.Time) (time.Time, bool) {
	if q.backlog.waiting == 0 {
		return time.Time{}, false
	}
	return now.Add(sweepInterval), true
}

// Pause keeps items waiting while the model is not loaded, which is expected
// until ready. It refuses those that cannot wait so long.
func (q *Queue) Pause(now, ready time.Time) []Action {
	q.held, q.ready = true, ready
	return q.Tick(now)
}

// Resume admits items again after Hold.
func (q *Queue) Resume(now time.Time) []Action {
	q.held = false
	return q.Tick(now)
}

// Drain refuses all waiting items and all later ones. Running ones go on.
func (q *Queue) Drain(now time.Time) []Action {
	q.draining = true
	return q.RefuseAll(now, wire.CodeDraining)
}

// RefuseAll refuses all waiting items, for example because a load failed.
func (q *Queue) RefuseAll(now time.Time, code wire.Code) []Action {
	var actions []Action
	for at, ok := q.backlog.next(); ok; at, ok = q.backlog.next() {
		actions = append(actions, q.refuse(now, q.backlog.remove(at, 0), code))
	}
	return actions
}

// SetConcurrency changes the stated concurrency of the upstream. Less than one
// counts as one.
func (q *Queue) SetConcurrency(now time.Time, n int) []Action {
	q.limit.setCeiling(max(1, n))
	return q.Tick(now)
}

// SetWeights sets each region's share of the upstream; see RegionWeights. Nil
// shares it equally.
func (q *Queue) SetWeights(w map[ident.Region]float64) { q.backlog.setWeights(w) }

// Estimate is what an item offered now would have to expect.
func (q *Queue) Estimate(now time.Time, it Item) Estimate {
	return q.estimate(now, q.entry(it))
}

// Stats returns a snapshot.
func (q *Queue) Stats() Stats {
	return Stats{Running: len(q.running), Waiting: q.backlog.waiting, Limit: q.limit.current(), RunTime: q.runTime()}
}

func (q *Queue) runTime() time.Duration {
	if q.seen == 0 {
		return 0
	}
	return q.average
}

// WaitingByPriority counts the waiting items of each priority from zero on, for
// wire.Report.
func (q *Queue) WaitingByPriority() []int {
	var counts []int
	q.backlog.each(func(at place) bool {
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
	guessed := it.TimeToResponse <= 0
	if guessed {
		it.TimeToResponse = q.average
	}
	if it.RunTime <= 0 {
		it.RunTime = it.TimeToResponse
	}
	return &entry{Item: it, guessed: guessed}
}
