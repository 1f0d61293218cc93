package router

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/loadlimit"
	"github.com/laureltally/laureltally/wire"
)

// loadLimiter drives the limiter of one environment's weight store: it delivers the
// decisions and sets the timer.
type loadLimiter struct {
	now func() time.Time

	mu      sync.Mutex
	limits  config.WeightStore
	limiter *loadlimit.Limiter
	last    loadlimit.PermitID
	waiting map[loadlimit.PermitID]chan loadlimit.Verdict
	timer   *time.Timer
}

func newLoadLimiter(now func() time.Time) *loadLimiter {
	return &loadLimiter{now: now, waiting: make(map[loadlimit.PermitID]chan loadlimit.Verdict)}
}

// setLimits applies the limits of the document. If they have changed, a new limiter
// replaces the old one: holders of permits continue, waiting requests expire and have
// to be made again.
func (l *loadLimiter) setLimits(limits config.WeightStore) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter != nil && limits == l.limits {
		return nil
	}
	replacement, err := loadlimit.New(loadlimit.Config{Store: limits})
	if err != nil {
		return fmt.Errorf("weight store limiter: %w", err)
	}
	l.limiter, l.limits = replacement, limits
	for id, decided := range l.waiting {
		delete(l.waiting, id)
		decided <- loadlimit.Expired
	}
	return nil
}

// acquire waits for a load permit. The caller releases it with release or cancel.
func (l *loadLimiter) acquire(ctx context.Context, r loadlimit.Request) (*permit, error) {
	p, err := l.request(r)
	if err != nil {
		return nil, err
	}
	select {
	case v := <-p.decided:
		if v != loadlimit.Granted {
			return nil, &notGrantedError{verdict: v}
		}
		return p, nil
	case <-ctx.Done():
		p.cancel()
		return nil, context.Cause(ctx)
	}
}

// permit is a request for a load permit, or the granted permit.
type permit struct {
	l       *loadLimiter
	limiter *loadlimit.Limiter
	id      loadlimit.PermitID
	decided chan loadlimit.Verdict
}

func (l *loadLimiter) request(r loadlimit.Request) (*permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiter == nil {
		return nil, &notGrantedError{verdict: loadlimit.Expired}
	}
	l.last++
	r.ID = l.last
	p := &permit{l: l, limiter: l.limiter, id: r.ID, decided: make(chan loadlimit.Verdict, 1)}
	l.waiting[r.ID] = p.decided
	decisions, err := l.limiter.Enqueue(r, l.now())
	if err != nil {
		delete(l.waiting, r.ID)
		return nil, fmt.Errorf("request load permit: %w", err)
	}
	l.deliver(decisions)
	return p, nil
}

// heartbeat records that the permit holder is alive.
func (p *permit) heartbeat() {
	p.l.mu.Lock()
	defer p.l.mu.Unlock()
	p.limiter.Heartbeat(p.id, p.l.now())
}

// release releases the permit after a load.
func (p *permit) release() { p.end(p.limiter.Complete) }

// cancel releases the permit, or withdraws the request.
func (p *permit) cancel() { p.end(p.limiter.Cancel) }

func (p *permit) end(operation func(loadlimit.PermitID, time.Time) []loadlimit.Decision) {
	p.l.mu.Lock()
	defer p.l.mu.Unlock()
	delete(p.l.waiting, p.id)
	p.l.deliver(operation(p.id, p.l.now()))
}

// deliver passes decisions to the waiting requests and sets the timer. The caller holds
// the lock.
func (l *loadLimiter) deliver(decisions []loadlimit.Decision) {
	for _, d := range decisions {
		if decided, ok := l.waiting[d.ID]; ok {
			delete(l.waiting, d.ID)
			decided <- d.Verdict
		}
	}
	due, ok := l.limiter.NextTick()
	if !ok {
		return
	}
	wait := max(due.Sub(l.now()), 0)
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.tick)
		return
	}
	l.timer.Reset(wait)
}

func (l *loadLimiter) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliver(l.limiter.Tick(l.now()))
}

// notGrantedError reports a request for a load permit that was not granted.
type notGrantedError struct{ verdict loadlimit.Verdict }

// Error implements error.
func (e *notGrantedError) Error() string {
	return fmt.Sprintf("load permit not granted: verdict %d", e.verdict)
}

// permitHeartbeat is the interval at which a permit holder with an open stream is
// recorded as alive.
const permitHeartbeat = time.Second

// hold keeps a permit until the stream of its holder ends.
func (p *permit) hold(ctx context.Context, ended <-chan struct{}) {
	defer p.release()
	tick := time.NewTicker(permitHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
			p.heartbeat()
		}
	}
}

// permitRequest converts a message to a request to the limiter.
func (s *Server) permitRequest(env *environment, m *wire.LoadPermitRequest) loadlimit.Request {
	r := loadlimit.Request{VM: m.VM, Class: loadlimit.ModelLoad, Priority: m.Priority}
	if m.Adapter != "" {
		r.Class = loadlimit.AdapterLoad
	}
	if c := env.catalog.Load(); c != nil {
		if spec, ok := c.Model(m.Model); ok {
			r.MemoryMB = spec.MemoryMB
		}
	}
	if m.Remaining > 0 {
		r.Deadline = s.o.Now().Add(m.Remaining)
	}
	return r
}
