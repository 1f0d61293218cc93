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
	// parallelLoads is the number of loads that the weight store runs at full speed
	// concurrently, as given in the requirements.
	parallelLoads = 4
	// parallelAdapters is the same for adapters, which sidecars load without a
	// permit.
	parallelAdapters = 32
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
	defer p.release(r.Upstream, id)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = stream.Recv()
	}()
	select {
	case v := <-decided:
		if v != loadlimit.Granted {
			return
		}
	case <-closed:
		return
	case <-ctx.Done():
		return
	}
	model := p.s.clusterState.expectLoad(p.s.o.Now(), r.Upstream, r.VM, r.Model)
	p.s.o.Logger.WithFields(log.Fields{"vm": peer.VM, "model": model, "ahead": r.Model == ""}).Info("load permit issued")
	if model == "" {
		return
	}
	if stream.Send(&wire.LoadPermit{Model: model}) != nil {
		return
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// requestPermit queues a request for a load permit.
func (p *permitServer) requestPermit(r *wire.LoadPermitRequest, value float64) (loadlimit.PermitID, chan loadlimit.Verdict, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := p.serviceLimiter(r.Upstream)
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
	// topPriorityValue is the value of the first level, about what one VM can serve.
	topPriorityValue = 8
	// lowestPriority is the last level.
	lowestPriority = 9
)

func (p *permitServer) release(service ident.Upstream, id loadlimit.PermitID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limiters[service]
	delete(l.waiting, id)
	p.dispatch(l, l.limiter.Complete(id, p.s.o.Now()))
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
// configured for it.
func (p *permitServer) serviceLimiter(service ident.Upstream) (*serviceLimiter, error) {
	if l := p.limiters[service]; l != nil {
		return l, nil
	}
	store := config.WeightStore{LoadsPerSecond: 1, ParallelLoads: parallelLoads, ParallelAdapters: parallelAdapters}
	expected := time.Duration(0)
	if snap := p.s.currentConfig.Get(); snap != nil {
		if s := snap.Config.Services[service]; s != nil && s.Engine != nil && s.Engine.LoadsPerSecond > 0 {
			store.LoadsPerSecond = s.Engine.LoadsPerSecond
			for i := range s.Engine.Models {
				expected = max(expected, s.Engine.Models[i].RemoteLoad)
			}
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
