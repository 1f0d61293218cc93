package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/loadlimit"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// parallelLoads is how many loads run at full speed at once; the brief gives
	// the figure.
	parallelLoads = 4
	// parallelAdapters is the same for adapters, which sidecars load without asking.
	parallelAdapters = 32
)

// gatekeeper hands out places at the weight store to the sidecars that ask this
// router. All sidecars that see the same routers ask the same one.
type gatekeeper struct {
	s *Server

	mu sync.Mutex
	// lanes holds one gate for each service.
	lanes map[ident.Upstream]*lane
	next  loadlimit.PermitID
}

// lane is the gate of one service with those that wait for its decisions.
type lane struct {
	gate    *loadlimit.Limiter
	waiting map[loadlimit.PermitID]chan loadlimit.Verdict
	timer   *time.Timer
}

func newGatekeeper(s *Server) *gatekeeper {
	return &gatekeeper{s: s, lanes: make(map[ident.Upstream]*lane)}
}

// handle serves the streams that sidecars open.
func (g *gatekeeper) handle(ctx context.Context, peer wire.Hello, first wire.Message, stream *transport.Stream) {
	r, ok := first.(*wire.LoadPermitRequest)
	if !ok {
		stream.Reset()
		return
	}
	worth := g.s.belief.fetchWorth(g.s.o.Now(), r.Upstream, r.VM, r.Model)
	if worth == 0 {
		// Nothing is worth loading; that takes no place.
		_ = stream.Send(&wire.Refusal{Code: wire.CodeNoReplica, Run: wire.RunStateNotRun})
		return
	}
	id, decided, err := g.ask(r, worth)
	if err != nil {
		g.s.o.Logger.WithField("vm", peer.VM).WithError(err).Warn("place at the weight store not handed out")
		stream.Reset()
		return
	}
	defer g.done(r.Upstream, id)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = stream.Recv()
	}()
	select {
	case v := <-decided:
		if v != loadlimit.Granted {
			return
		}
	case <-gone:
		return
	case <-ctx.Done():
		return
	}
	model := g.s.belief.fetch(g.s.o.Now(), r.Upstream, r.VM, r.Model)
	g.s.o.Logger.WithFields(log.Fields{"vm": peer.VM, "model": model, "ahead": r.Model == ""}).Info("place at the weight store")
	if model == "" {
		return
	}
	if stream.Send(&wire.LoadPermit{Model: model}) != nil {
		return
	}
	select {
	case <-gone:
	case <-ctx.Done():
	}
}

// ask enters a request for a place.
func (g *gatekeeper) ask(r *wire.LoadPermitRequest, worth float64) (loadlimit.PermitID, chan loadlimit.Verdict, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, err := g.lane(r.Upstream)
	if err != nil {
		return 0, nil, err
	}
	g.next++
	decided := make(chan loadlimit.Verdict, 1)
	l.waiting[g.next] = decided
	now := g.s.o.Now()
	q := loadlimit.Request{ID: g.next, VM: r.VM, Class: loadlimit.ModelLoad, Priority: urgency(worth)}
	if r.Remaining > 0 {
		q.Deadline = now.Add(r.Remaining)
	}
	decisions, err := l.gate.Enqueue(q, now)
	if err != nil {
		delete(l.waiting, g.next)
		return 0, nil, err
	}
	g.deliver(l, decisions)
	return g.next, decided, nil
}

// urgency orders loads by what they are worth, in requests a second: each level
// is half as much as the one before.
func urgency(worth float64) ident.Priority {
	p := ident.Priority(0)
	for worth < mostUrgentWorth && p < leastUrgent {
		worth *= 2
		p++
	}
	return p
}

const (
	// mostUrgentWorth is the worth of the first level, about what one VM can serve.
	mostUrgentWorth = 8
	// leastUrgent is the last level.
	leastUrgent = 9
)

func (g *gatekeeper) done(service ident.Upstream, id loadlimit.PermitID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lanes[service]
	delete(l.waiting, id)
	g.deliver(l, l.gate.Complete(id, g.s.o.Now()))
}

// deliver passes decisions on and sets the timer for the next. The caller holds
// mu.
func (g *gatekeeper) deliver(l *lane, decisions []loadlimit.Decision) {
	for _, d := range decisions {
		if ch := l.waiting[d.ID]; ch != nil {
			delete(l.waiting, d.ID)
			ch <- d.Verdict
		}
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	at, due := l.gate.NextTick()
	if !due {
		return
	}
	l.timer = time.AfterFunc(max(time.Millisecond, at.Sub(g.s.o.Now())), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deliver(l, l.gate.Tick(g.s.o.Now()))
	})
}

// lane returns the gate of a service, with the rate that is configured for it.
func (g *gatekeeper) lane(service ident.Upstream) (*lane, error) {
	if l := g.lanes[service]; l != nil {
		return l, nil
	}
	store := config.WeightStore{LoadsPerSecond: 1, ParallelLoads: parallelLoads, ParallelAdapters: parallelAdapters}
	expected := time.Duration(0)
	if snap := g.s.inForce.Get(); snap != nil {
		if s := snap.Config.Services[service]; s != nil && s.Engine != nil && s.Engine.LoadsPerSecond > 0 {
			store.LoadsPerSecond = s.Engine.LoadsPerSecond
			for i := range s.Engine.Models {
				expected = max(expected, s.Engine.Models[i].RemoteLoad)
			}
		}
	}
	gt, err := loadlimit.New(loadlimit.Config{Store: store, ExpectedLoad: expected})
	if err != nil {
		return nil, err
	}
	l := &lane{gate: gt, waiting: make(map[loadlimit.PermitID]chan loadlimit.Verdict)}
	g.lanes[service] = l
	return l, nil
}
