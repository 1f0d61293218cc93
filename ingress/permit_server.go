package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/loadlimit"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

const (
	// firstParallelLoads is the number of loads that the weight store is assumed to run
	// at full speed concurrently until load times show it. A low value costs a few
	// seconds on large stores; a high one slows the first loads down on small ones.
	firstParallelLoads = 2
	// parallelAdapters is not used: sidecars load adapters without a permit, since they
	// take milliseconds.
	parallelAdapters = 1
)

// permitServer issues load permits for the weight store to the sidecars that ask this
// router. All sidecars that see the same routers ask the same one.
type permitServer struct {
	s *Server

	mu sync.Mutex
	// limiters holds one limiter for each service.
	limiters map[ident.Upstream]*serviceLimiter
	next     loadlimit.PermitID
}

// serviceLimiter is the limiter of one service, with the requests that await its
// decisions.
type serviceLimiter struct {
	limiter *loadlimit.Limiter
	waiting map[loadlimit.PermitID]chan loadlimit.Verdict
	timer   *time.Timer
}

func newPermitServer(s *Server) *permitServer {
	return &permitServer{s: s, limiters: make(map[ident.Upstream]*serviceLimiter)}
}

// handle serves the streams opened by sidecars.
func (p *permitServer) handle(ctx context.Context, peer wire.Hello, first wire.Message, stream *transport.Stream) {
	r, ok := first.(*wire.LoadPermitRequest)
	if !ok {
		stream.Reset()
		return
	}
	value := p.s.clusterState.remoteLoadValue(p.s.o.Now(), r.Upstream, r.VM, r.Model)
	if value == 0 {
		// A load without value is refused without taking a permit.
		_ = stream.Send(&wire.Refusal{Code: wire.CodeNoReplica, Run: wire.RunStateNotRun})
		return
	}
	id, decided, err := p.requestPermit(r, value)
	if err != nil {
		p.s.o.Logger.WithField("vm", peer.VM).WithError(err).Warn("load permit not issued")
		stream.Reset()
		return
	}
	load := &permittedLoad{service: r.Upstream, id: id}
	defer func() { p.release(load) }()
	ended := make(chan time.Duration, 1)
	go func() { ended <- receiveLoadTime(stream) }()
	select {
	case v := <-decided:
		if v != loadlimit.Granted {
			return
		}
	case <-ended:
		return
	case <-ctx.Done():
		return
	}
	model, expected := p.s.clusterState.expectLoad(p.s.o.Now(), r.Upstream, r.VM, r.Model)
	defer p.s.clusterState.endExpectedLoad(expected)
	p.s.o.Logger.WithFields(log.Fields{"vm": peer.VM, "model": model, "ahead": r.Model == "", "value": value}).Info("load permit issued")
	if model == "" {
		return
	}
	load.model = model
	if stream.Send(&wire.LoadPermit{Model: model, ParallelLoads: p.parallelLoads(r.Upstream)}) != nil {
		return
	}
	select {
	case load.took = <-ended:
	case <-ctx.Done():
	}
}

// receiveLoadTime returns the time of the load for which a permit was granted, when the
// sidecar returns the permit. It returns zero if there was no load.
func receiveLoadTime(stream *transport.Stream) time.Duration {
	m, err := stream.Recv()
	if err != nil {
		return 0
	}
	if o, ok := m.(*wire.LoadOutcome); ok {
		return o.Took
	}
	return 0
}

// requestPermit queues a request for a load permit.
func (p *permitServer) requestPermit(r *wire.LoadPermitRequest, value float64) (loadlimit.PermitID, chan loadlimit.Verdict, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := p.serviceLimiter(r.Upstream, r.ParallelLoads)
	if err != nil {
		return 0, nil, err
	}
	p.next++
	decided := make(chan loadlimit.Verdict, 1)
	l.waiting[p.next] = decided
	now := p.s.o.Now()
	q := loadlimit.Request{ID: p.next, VM: r.VM, Class: loadlimit.ModelLoad, Priority: loadPriority(value)}
	if r.Remaining > 0 {
		q.Deadline = now.Add(r.Remaining)
	}
	decisions, err := l.limiter.Enqueue(q, now)
	if err != nil {
		delete(l.waiting, p.next)
		return 0, nil, err
	}
	p.dispatch(l, decisions)
	return p.next, decided, nil
}

// loadPriority derives the priority of a load from its value in requests per second:
// each level stands for half the value of the one before.
func loadPriority(value float64) ident.Priority {
	priority := ident.Priority(0)
	for value < topPriorityValue && priority < lowestPriority {
		value *= 2
		priority++
	}
	return priority
}

const (
	// topPriorityValue is the value of the first level. The levels below it reach down to
	// models that are asked for once in half a minute.
	topPriorityValue = 32
	// lowestPriority is the last level.
	lowestPriority = 9
)

// permittedLoad is a request for a permit and the load for which it was granted.
type permittedLoad struct {
	service ident.Upstream
	id      loadlimit.PermitID
	model   ident.Model
	// took is the time of the load, or zero if there was none.
	took time.Duration
}

func (p *permitServer) release(load *permittedLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limiters[load.service]
	delete(l.waiting, load.id)
	now := p.s.o.Now()
	if load.took == 0 {
		p.dispatch(l, l.limiter.Cancel(load.id, now))
		return
	}
	before := l.limiter.ParallelLoads()
	expected := p.loadTime(load.service, load.model)
	p.dispatch(l, l.limiter.CompleteLoad(load.id, load.took, expected, now))
	p.s.o.Logger.WithFields(log.Fields{
		"service": load.service, "model": load.model, "took_ms": ms(load.took), "configured_ms": ms(expected),
		"parallel": l.limiter.ParallelLoads(), "parallel_before": before,
	}).Info("load from the weight store ended")
}

// parallelLoads returns how many loads of a service run concurrently.
func (p *permitServer) parallelLoads(service ident.Upstream) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiters[service].limiter.ParallelLoads()
}

// loadTime returns the configured time of a load from the weight store, or zero if it is
// unknown.
func (p *permitServer) loadTime(service ident.Upstream, model ident.Model) time.Duration {
	if e := p.engine(service); e != nil {
		if spec := e.Model(model); spec != nil {
			return spec.RemoteLoad
		}
	}
	return 0
}

// engine returns the configured engine of a service, or nil.
func (p *permitServer) engine(service ident.Upstream) *serving.Engine {
	snap := p.s.currentConfig.Get()
	if snap == nil {
		return nil
	}
	return snap.Config.Engine(service)
}

// dispatch passes decisions on and sets the timer for the next ones. The caller holds
// mu.
func (p *permitServer) dispatch(l *serviceLimiter, decisions []loadlimit.Decision) {
	for _, d := range decisions {
		if ch := l.waiting[d.ID]; ch != nil {
			delete(l.waiting, d.ID)
			ch <- d.Verdict
		}
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	at, due := l.limiter.NextTick()
	if !due {
		return
	}
	l.timer = time.AfterFunc(max(time.Millisecond, at.Sub(p.s.o.Now())), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch(l, l.limiter.Tick(p.s.o.Now()))
	})
}

// serviceLimiter returns the limiter of a service, created with the load rate
// configured for it. parallel is the requester's estimate of the number of concurrent
// loads, with which a new limiter starts.
func (p *permitServer) serviceLimiter(service ident.Upstream, parallel int) (*serviceLimiter, error) {
	if l := p.limiters[service]; l != nil {
		return l, nil
	}
	if parallel <= 0 {
		parallel = firstParallelLoads
	}
	store := config.WeightStore{LoadsPerSecond: 1, ParallelLoads: parallel, ParallelAdapters: parallelAdapters}
	expected := time.Duration(0)
	if e := p.engine(service); e != nil && e.LoadsPerSecond > 0 {
		store.LoadsPerSecond = e.LoadsPerSecond
		for i := range e.Models {
			expected = max(expected, e.Models[i].RemoteLoad)
		}
	}
	lim, err := loadlimit.New(loadlimit.Config{Store: store, ExpectedLoad: expected})
	if err != nil {
		return nil, err
	}
	l := &serviceLimiter{limiter: lim, waiting: make(map[loadlimit.PermitID]chan loadlimit.Verdict)}
	p.limiters[service] = l
	return l, nil
}
