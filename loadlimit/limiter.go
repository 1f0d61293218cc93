package loadlimit

import (
	"container/heap"
	"fmt"
	"slices"
	"time"
)

// Limiter hands out the places of one weight store.
type Limiter struct {
	cfg   Config
	lanes [classCount]*lane
	seq   uint64
	// nextStart is when the store's rate allows the next model load.
	nextStart time.Time
}

// New returns a Gate whose places are all free. It fails with a *ConfigError.
func New(cfg Config) (*Limiter, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, fmt.Errorf("new gate: %w", err)
	}
	g := &Limiter{cfg: cfg}
	g.lanes[ModelLoad] = newLane(cfg.Store.ParallelLoads, cfg.ExpectedLoad)
	g.lanes[AdapterLoad] = newLane(cfg.Store.ParallelAdapters, cfg.ExpectedAdapter)
	return g, nil
}

// Enqueue enters a request and returns the decisions that follow. It fails with a
// *FullError or a *DuplicateError; the request is then not entered.
func (g *Limiter) Enqueue(r Request, now time.Time) ([]Decision, error) {
	l := g.lanes[r.Class]
	if l.known(r.ID) {
		return nil, fmt.Errorf("ask: %w", &DuplicateError{ID: r.ID})
	}
	if waiting := g.Waiting(); waiting >= g.cfg.MaxQueue {
		return nil, fmt.Errorf("ask: %w", &FullError{Waiting: waiting})
	}
	g.seq++
	heap.Push(&l.waiting, waiter{req: r, seq: g.seq})
	return g.Tick(now), nil
}

// Heartbeat records that the holder of a ticket is alive.
func (g *Limiter) Heartbeat(id PermitID, now time.Time) {
	for _, l := range g.lanes {
		if h, ok := l.held[id]; ok {
			h.heard = now
			l.held[id] = h
		}
	}
}

// Complete gives a place back because the load ended, and learns from its time.
func (g *Limiter) Complete(id PermitID, now time.Time) []Decision {
	for _, l := range g.lanes {
		if took, held := l.release(id, now); held {
			l.learn(took)
		}
	}
	return g.Tick(now)
}

// Cancel gives a place back, or withdraws a request, because the asker is gone.
func (g *Limiter) Cancel(id PermitID, now time.Time) []Decision {
	for _, l := range g.lanes {
		l.release(id, now)
	}
	return g.Tick(now)
}

// Tick returns the decisions that are due at now.
func (g *Limiter) Tick(now time.Time) []Decision {
	var out []Decision
	for _, l := range g.lanes {
		out = append(out, l.expireWaiters(now)...)
		out = append(out, l.expireHolders(now, g.expiry(l))...)
	}
	models, adapters := g.lanes[ModelLoad], g.lanes[AdapterLoad]
	for models.free() && !now.Before(g.nextStart) {
		out = append(out, Decision{ID: models.grant(now), Verdict: Granted})
		g.nextStart = now.Add(g.interval())
	}
	for adapters.free() {
		out = append(out, Decision{ID: adapters.grant(now), Verdict: Granted})
	}
	return out
}

// NextTick returns when Tick is due if nothing else happens, and false if never.
func (g *Limiter) NextTick() (time.Time, bool) {
	var due []time.Time
	if g.lanes[ModelLoad].free() {
		due = append(due, g.nextStart)
	}
	for _, l := range g.lanes {
		for _, h := range l.held {
			due = append(due, h.heard.Add(g.expiry(l)))
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

// Wait estimates how long a request would wait for its place.
func (g *Limiter) Wait(r Request, now time.Time) time.Duration {
	l := g.lanes[r.Class]
	ahead := l.ahead(r) + len(l.held) - l.places + 1
	wait := time.Duration(max(ahead, 0)) * l.expected / time.Duration(l.places)
	if r.Class == ModelLoad {
		paced := g.nextStart.Sub(now) + time.Duration(l.ahead(r))*g.interval()
		wait = max(wait, paced)
	}
	return wait
}

// Waiting returns the number of requests that wait.
func (g *Limiter) Waiting() int {
	n := 0
	for _, l := range g.lanes {
		n += len(l.waiting)
	}
	return n
}

// Held returns the number of places of a class that are taken.
func (g *Limiter) Held(c Class) int { return len(g.lanes[c].held) }

// interval returns the least time between two starts of model loads.
func (g *Limiter) interval() time.Duration {
	return time.Duration(float64(time.Second) / g.cfg.Store.LoadsPerSecond)
}

// expiry returns how long a holder that is not heard of keeps its place. It
// grows with the load times, so that a slow store expires no live holder.
func (g *Limiter) expiry(l *lane) time.Duration {
	return max(g.cfg.MinExpiry, time.Duration(g.cfg.ExpiryFactor*float64(l.expected)))
}
