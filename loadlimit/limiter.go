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
}

// New returns a Limiter with no permits issued. It fails with *ConfigError.
func New(cfg Config) (*Limiter, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new load limiter: %w", err)
	}
	g := &Limiter{cfg: cfg}
	g.classes[ModelLoad] = newClassLimiter(cfg.Store.ParallelLoads, cfg.ExpectedLoad)
	g.classes[AdapterLoad] = newClassLimiter(cfg.Store.ParallelAdapters, cfg.ExpectedAdapter)
	return g, nil
}

// Enqueue adds a request to the queue and returns the resulting decisions. It
// fails with *FullError or *DuplicateError, in which case the request is not
// added.
func (g *Limiter) Enqueue(r Request, now time.Time) ([]Decision, error) {
	l := g.classes[r.Class]
	if l.contains(r.ID) {
		return nil, fmt.Errorf("enqueue load request: %w", &DuplicateError{ID: r.ID})
	}
	if waiting := g.Queued(); waiting >= g.cfg.MaxQueue {
		return nil, fmt.Errorf("enqueue load request: %w", &FullError{Queued: waiting})
	}
	g.seq++
	heap.Push(&l.waiting, waiter{req: r, seq: g.seq})
	return g.Tick(now), nil
}

// Heartbeat records that the holder of a permit is alive.
func (g *Limiter) Heartbeat(id PermitID, now time.Time) {
	for _, l := range g.classes {
		if p, ok := l.permits[id]; ok {
			p.lastHeartbeat = now
			l.permits[id] = p
		}
	}
}

// Complete returns a permit after the load ended and updates the mean load time
// with its duration.
func (g *Limiter) Complete(id PermitID, now time.Time) []Decision {
	for _, l := range g.classes {
		if took, ok := l.remove(id, now); ok {
			l.updateMean(took)
		}
	}
	return g.Tick(now)
}

// Cancel returns a permit or withdraws a queued request because the requester
// failed or gave up. It does not update the mean load time.
func (g *Limiter) Cancel(id PermitID, now time.Time) []Decision {
	for _, l := range g.classes {
		l.remove(id, now)
	}
	return g.Tick(now)
}

// Tick returns the decisions that are due at now.
func (g *Limiter) Tick(now time.Time) []Decision {
	var out []Decision
	for _, l := range g.classes {
		out = append(out, l.expireWaiters(now)...)
		out = append(out, l.expirePermits(now, g.permitExpiry(l))...)
	}
	models, adapters := g.classes[ModelLoad], g.classes[AdapterLoad]
	for models.canGrant() && !now.Before(g.nextStart) {
		out = append(out, Decision{ID: models.grant(now), Verdict: Granted})
		g.nextStart = now.Add(g.startInterval())
	}
	for adapters.canGrant() {
		out = append(out, Decision{ID: adapters.grant(now), Verdict: Granted})
	}
	return out
}

// NextTick returns when Tick is due if no other event occurs, and false if it
// never is.
func (g *Limiter) NextTick() (time.Time, bool) {
	var due []time.Time
	if g.classes[ModelLoad].canGrant() {
		due = append(due, g.nextStart)
	}
	for _, l := range g.classes {
		for _, p := range l.permits {
			due = append(due, p.lastHeartbeat.Add(g.permitExpiry(l)))
		}
		for _, w := range l.waiting {
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
func (g *Limiter) EstimateWait(r Request, now time.Time) time.Duration {
	l := g.classes[r.Class]
	ahead := l.ahead(r) + len(l.permits) - l.maxPermits + 1
	wait := time.Duration(max(ahead, 0)) * l.meanLoadTime / time.Duration(l.maxPermits)
	if r.Class == ModelLoad {
		paced := g.nextStart.Sub(now) + time.Duration(l.ahead(r))*g.startInterval()
		wait = max(wait, paced)
	}
	return wait
}

// Queued returns the number of queued requests.
func (g *Limiter) Queued() int {
	n := 0
	for _, l := range g.classes {
		n += len(l.waiting)
	}
	return n
}

// Permits returns the number of issued permits of a class.
func (g *Limiter) Permits(c Class) int { return len(g.classes[c].permits) }

// startInterval returns the minimum time between two starts of model loads.
func (g *Limiter) startInterval() time.Duration {
	return time.Duration(float64(time.Second) / g.cfg.Store.LoadsPerSecond)
}

// permitExpiry returns how long a permit lasts without a heartbeat. It grows
// with the load times, so that permits of live holders do not expire when the
// store is slow.
func (g *Limiter) permitExpiry(l *classLimiter) time.Duration {
	return max(g.cfg.MinExpiry, time.Duration(g.cfg.ExpiryFactor*float64(l.meanLoadTime)))
}
