package loadlimit

import (
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// Limiter issues the permits of one weight store.
type Limiter struct {
	cfg     Config
	classes [classCount]*classLimiter
	seq     uint64
	// nextStart is the earliest time at which the store's rate allows the next
	// model load.
	nextStart time.Time
	// parallel is the learned number of concurrent model loads, and history the number
	// of permits for them.
	parallel parallelism
	history  permitHistory
}

// New returns a Limiter with no permits issued. It fails with *ConfigError.
func New(cfg Config) (*Limiter, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new load limiter: %w", err)
	}
	l := &Limiter{cfg: cfg, parallel: parallelism{value: cfg.Store.ParallelLoads}}
	l.classes[ModelLoad] = newClassLimiter(cfg.Store.ParallelLoads, cfg.ExpectedLoad)
	l.classes[AdapterLoad] = newClassLimiter(cfg.Store.ParallelAdapters, cfg.ExpectedAdapter)
	return l, nil
}

// Enqueue adds a request to the queue and returns the resulting decisions. It
// fails with *FullError or *DuplicateError, in which case the request is not
// added.
func (l *Limiter) Enqueue(r Request, now time.Time) ([]Decision, error) {
	c := l.classes[r.Class]
	if c.contains(r.ID) {
		return nil, fmt.Errorf("enqueue load request: %w", &DuplicateError{ID: r.ID})
	}
	if waiting := l.Queued(); waiting >= l.cfg.MaxQueue {
		return nil, fmt.Errorf("enqueue load request: %w", &FullError{Queued: waiting})
	}
	l.seq++
	heap.Push(&c.waiting, waiter{req: r, seq: l.seq})
	return l.Tick(now), nil
}

// Heartbeat records that the holder of a permit is alive.
func (l *Limiter) Heartbeat(id PermitID, now time.Time) {
	for _, c := range l.classes {
		if p, ok := c.permits[id]; ok {
			p.lastHeartbeat = now
			c.permits[id] = p
		}
	}
}

// Complete returns a permit after the load ended and updates the mean load time
// with its duration.
func (l *Limiter) Complete(id PermitID, now time.Time) []Decision {
	for _, c := range l.classes {
		if took, ok := c.remove(id, now); ok {
			c.updateMean(took)
		}
	}
	return l.Tick(now)
}

// CompleteLoad returns the permit of a model load that has ended, took from its start
// and is configured to take expected. Unlike Complete, it adjusts the number of
// concurrent loads.
func (l *Limiter) CompleteLoad(id PermitID, took, expected time.Duration, now time.Time) []Decision {
	c := l.classes[ModelLoad]
	if _, ok := c.remove(id, now); ok && took > 0 && expected > 0 {
		c.updateMean(took)
		l.parallel.observe(now, l.history.mean(now.Add(-took), now), float64(took)/float64(expected))
		c.maxPermits = l.parallel.value
	}
	return l.Tick(now)
}

// ParallelLoads returns the number of model loads that may run concurrently.
func (l *Limiter) ParallelLoads() int { return l.classes[ModelLoad].maxPermits }

// Cancel returns a permit or withdraws a queued request because the requester
// failed or gave up. It does not update the mean load time.
func (l *Limiter) Cancel(id PermitID, now time.Time) []Decision {
	for _, c := range l.classes {
		c.remove(id, now)
	}
	return l.Tick(now)
}

// Tick returns the decisions that are due at now.
func (l *Limiter) Tick(now time.Time) []Decision {
	var out []Decision
	for _, c := range l.classes {
		out = append(out, c.expireWaiters(now)...)
		out = append(out, c.expirePermits(now, l.permitExpiry(c))...)
	}
	models, adapters := l.classes[ModelLoad], l.classes[AdapterLoad]
	for models.canGrant() && !now.Before(l.nextStart) {
		out = append(out, Decision{ID: models.grant(now), Verdict: Granted})
		l.nextStart = now.Add(l.startInterval())
	}
	for adapters.canGrant() {
		out = append(out, Decision{ID: adapters.grant(now), Verdict: Granted})
	}
	l.history.record(now, len(models.permits))
	return out
}

// NextTick returns when Tick is due if no other event occurs, and false if it
// never is.
func (l *Limiter) NextTick() (time.Time, bool) {
	var due []time.Time
	if l.classes[ModelLoad].canGrant() {
		due = append(due, l.nextStart)
	}
	for _, c := range l.classes {
		for _, p := range c.permits {
			due = append(due, p.lastHeartbeat.Add(l.permitExpiry(c)))
		}
		for _, w := range c.waiting {
			if !w.req.Deadline.IsZero() {
				due = append(due, w.req.Deadline)
			}
		}
	}
	if len(due) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(due, time.Time.Compare), true
}

// EstimateWait estimates how long a request would wait for a permit.
func (l *Limiter) EstimateWait(r Request, now time.Time) time.Duration {
	c := l.classes[r.Class]
	ahead := c.ahead(r) + len(c.permits) - c.maxPermits + 1
	wait := time.Duration(max(ahead, 0)) * c.meanLoadTime / time.Duration(c.maxPermits)
	if r.Class == ModelLoad {
		paced := l.nextStart.Sub(now) + time.Duration(c.ahead(r))*l.startInterval()
		wait = max(wait, paced)
	}
	return wait
}

// Queued returns the number of queued requests.
func (l *Limiter) Queued() int {
	n := 0
	for _, c := range l.classes {
		n += len(c.waiting)
	}
	return n
}

// Permits returns the number of issued permits of a class.
func (l *Limiter) Permits(class Class) int { return len(l.classes[class].permits) }

// startInterval returns the minimum time between two starts of model loads.
func (l *Limiter) startInterval() time.Duration {
	return time.Duration(float64(time.Second) / l.cfg.Store.LoadsPerSecond)
}

// permitExpiry returns how long a permit lasts without a heartbeat. It grows
// with the load times, so that permits of live holders do not expire when the
// store is slow.
func (l *Limiter) permitExpiry(c *classLimiter) time.Duration {
	return max(l.cfg.MinExpiry, time.Duration(l.cfg.ExpiryFactor*float64(c.meanLoadTime)))
}
