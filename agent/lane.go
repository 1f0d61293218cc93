package agent

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/replica"
	"github.com/laureltally/laureltally/wire"
)

// initialLoadEstimate is how long a load is expected to take before one of the
// model was seen.
const initialLoadEstimate = 5 * time.Second

// lane is the queue in front of one model, or of the plain service when model is
// empty.
type lane struct {
	*admitter
	model ident.Model

	mu       sync.Mutex
	loading  bool
	loadTime time.Duration
	// firstToken is the average time to the first part of a stream, zero until
	// one was seen.
	firstToken time.Duration
}

// firstShare is the weight of the newest time in the average.
const firstShare = 0.1

// noteFirst records how long the first part of a stream took.
func (l *lane) noteFirst(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstToken == 0 {
		l.firstToken = took
		return
	}
	l.firstToken += time.Duration(firstShare * float64(took-l.firstToken))
}

// item describes an attempt to the queue. What is due by the deadline of a
// stream is its first part, although it takes its place until its end.
func (l *lane) item(d *wire.Dispatch, deadline time.Time) admission.Item {
	it := admission.Item{
		ID:          d.Attempt,
		Environment: d.Environment,
		Region:      d.Region,
		Priority:    d.Priority,
		Deadline:    deadline,
	}
	if !d.Stream {
		return it
	}
	it.RunTime = l.stats().RunTime
	l.mu.Lock()
	defer l.mu.Unlock()
	it.TimeToResponse = l.firstToken
	return it
}

// beginLoad tells whether the caller is the one to start a load, and how long
// the load is expected to take.
func (l *lane) beginLoad() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loading {
		return 0, false
	}
	l.loading = true
	return l.loadTime, true
}

// endLoad records how long a load took; zero means that it failed.
func (l *lane) endLoad(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loading = false
	if took > 0 {
		l.loadTime = (l.loadTime + took) / 2
	}
}

// lane returns the queue of a model and makes it at the first request.
func (a *Agent) lane(m ident.Model) (*lane, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.lanes[m]; ok {
		return l, nil
	}
	q, err := admission.New(admission.Options{
		Region:      a.o.Settings.Region,
		Concurrency: a.concurrency(m),
		Rand:        a.splitRand(),
	})
	if err != nil {
		return nil, err
	}
	l := &lane{admitter: newAdmitter(q, a.o.Now), model: m, loadTime: initialLoadEstimate}
	a.lanes[m] = l
	return l, nil
}

// concurrency is how many requests the upstream takes at once for the model.
func (a *Agent) concurrency(m ident.Model) int {
	if m == "" {
		return a.o.Settings.Concurrency
	}
	spec, ok := a.spec(m)
	if !ok {
		return 1
	}
	return max(spec.Concurrency, 1)
}

// ensureLoaded starts to load the lane's model unless it is loaded or being
// loaded. Requests wait in the lane meanwhile.
func (a *Agent) ensureLoaded(l *lane, d *wire.Dispatch) {
	if a.replicas == nil || a.replicas.Loaded(l.model) {
		return
	}
	estimate, first := l.beginLoad()
	if !first {
		return
	}
	l.do(func(now time.Time) []admission.Action { return l.queue.Pause(now, now.Add(estimate)) })
	a.background.Go(func() { a.load(l, d.Priority) })
}

// load loads the model of a lane and then opens the lane or refuses all that
// waits in it. The load outlives the request that asked for it: others wait for
// the same one.
func (a *Agent) load(l *lane, p ident.Priority) {
	start := a.o.Now()
	ctx, cancel := context.WithTimeout(a.stopping, maxLoadTime)
	defer cancel()
	lease, err := a.replicas.Acquire(ctx, replica.Requirements{Model: l.model, Priority: p, Prewarm: true})
	if err != nil {
		a.o.Logger.WithError(err).WithField("model", l.model).Warn("load failed")
		l.endLoad(0)
		r := refusalFor("", err)
		l.do(func(now time.Time) []admission.Action {
			refused := l.queue.RefuseAll(now, r.Code)
			return append(refused, l.queue.Resume(now)...)
		})
		return
	}
	now := a.o.Now()
	l.endLoad(now.Sub(start))
	a.policy.loaded(l.model, now.Sub(start), now)
	l.do(func(now time.Time) []admission.Action { return l.queue.Resume(now) })
	a.holdUntilUsed(lease)
}

const (
	// maxLoadTime bounds one load.
	maxLoadTime = 10 * time.Minute
	// firstUseGrace keeps a model loaded until those who waited have their own
	// lease.
	firstUseGrace = time.Second
)

// holdUntilUsed keeps what was just loaded for those who waited for it.
func (a *Agent) holdUntilUsed(lease *replica.Lease) {
	defer lease.Release()
	select {
	case <-time.After(firstUseGrace):
	case <-a.stopping.Done():
	}
}
