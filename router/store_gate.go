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

// storeGate drives the gate of one environment's weight store.
type storeGate struct {
	now func() time.Time

	mu      sync.Mutex
	limits  config.WeightStore
	gate    *loadlimit.Limiter
	last    loadlimit.PermitID
	waiting map[loadlimit.PermitID]chan loadlimit.Verdict
	timer   *time.Timer
}

func newStoreGate(now func() time.Time) *storeGate {
	return &storeGate{now: now, waiting: make(map[loadlimit.PermitID]chan loadlimit.Verdict)}
}

// setLimits follows the document. Changed limits start a new gate: those that
// hold a place of the old one go on, those that wait ask again.
func (g *storeGate) setLimits(limits config.WeightStore) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate != nil && limits == g.limits {
		return nil
	}
	fresh, err := loadlimit.New(loadlimit.Config{Store: limits})
	if err != nil {
		return fmt.Errorf("gate of the weight store: %w", err)
	}
	g.gate, g.limits = fresh, limits
	for id, decided := range g.waiting {
		delete(g.waiting, id)
		decided <- loadlimit.Expired
	}
	return nil
}

// acquire waits for a place. The returned function gives it back.
func (g *storeGate) acquire(ctx context.Context, r loadlimit.Request) (*place, error) {
	p, err := g.ask(r)
	if err != nil {
		return nil, err
	}
	select {
	case v := <-p.decided:
		if v != loadlimit.Granted {
			return nil, &verdictError{verdict: v}
		}
		return p, nil
	case <-ctx.Done():
		p.lost()
		return nil, context.Cause(ctx)
	}
}

// place is a request for a place, or the place itself.
type place struct {
	g       *storeGate
	gate    *loadlimit.Limiter
	id      loadlimit.PermitID
	decided chan loadlimit.Verdict
}

func (g *storeGate) ask(r loadlimit.Request) (*place, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate == nil {
		return nil, &verdictError{verdict: loadlimit.Expired}
	}
	g.last++
	r.ID = g.last
	p := &place{g: g, gate: g.gate, id: r.ID, decided: make(chan loadlimit.Verdict, 1)}
	g.waiting[r.ID] = p.decided
	decisions, err := g.gate.Enqueue(r, g.now())
	if err != nil {
		delete(g.waiting, r.ID)
		return nil, fmt.Errorf("ask for a place: %w", err)
	}
	g.deliver(decisions)
	return p, nil
}

// heard tells the gate that the holder lives.
func (p *place) heard() {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	p.gate.Heartbeat(p.id, p.g.now())
}

// done gives the place back after a load.
func (p *place) done() { p.end(p.gate.Complete) }

// lost gives the place back, or withdraws the request.
func (p *place) lost() { p.end(p.gate.Cancel) }

func (p *place) end(how func(loadlimit.PermitID, time.Time) []loadlimit.Decision) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	delete(p.g.waiting, p.id)
	p.g.deliver(how(p.id, p.g.now()))
}

// deliver hands out decisions and arms the timer. The caller holds the lock.
func (g *storeGate) deliver(decisions []loadlimit.Decision) {
	for _, d := range decisions {
		if decided, ok := g.waiting[d.ID]; ok {
			delete(g.waiting, d.ID)
			decided <- d.Verdict
		}
	}
	due, ok := g.gate.NextTick()
	if !ok {
		return
	}
	wait := max(due.Sub(g.now()), 0)
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.tick)
		return
	}
	g.timer.Reset(wait)
}

func (g *storeGate) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.gate.Tick(g.now()))
}

// verdictError reports a request for a place that was not granted.
type verdictError struct{ verdict loadlimit.Verdict }

// Error implements error.
func (e *verdictError) Error() string { return fmt.Sprintf("no place granted: verdict %d", e.verdict) }

// gateHeartbeat is how often a holder whose stream is open counts as heard.
const gateHeartbeat = time.Second

// hold keeps a place until the stream of its holder ends.
func (p *place) hold(ctx context.Context, ended <-chan struct{}) {
	defer p.done()
	tick := time.NewTicker(gateHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
			p.heard()
		}
	}
}

// ticketRequest turns a message into a request to the gate.
func (s *Server) ticketRequest(env *environment, m *wire.LoadPermitRequest) loadlimit.Request {
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
