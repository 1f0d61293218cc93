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

// initialLoadEstimate is the assumed load time before one was observed.
const initialLoadEstimate = 5 * time.Second

// modelQueue is the request queue of one model, or of the plain service if
// model is empty.
type modelQueue struct {
	*admitter
	model ident.Model

	mu       sync.Mutex
	loading  bool
	loadTime time.Duration
	// timeToFirstToken is the moving average of the time to the first token of a
	// stream, zero until one was observed. The first data of the body counts as the
	// first token.
	timeToFirstToken time.Duration
}

// firstTokenWeight is the weight of the newest time in the moving average.
const firstTokenWeight = 0.1

// observeFirstToken records the time to the first token of a stream.
func (mq *modelQueue) observeFirstToken(took time.Duration) {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	if mq.timeToFirstToken == 0 {
		mq.timeToFirstToken = took
		return
	}
	mq.timeToFirstToken += time.Duration(firstTokenWeight * float64(took-mq.timeToFirstToken))
}

// item returns the queue item of an attempt. The deadline of a stream applies
// to its first token, but the stream counts against the concurrency limit until
// its end.
func (mq *modelQueue) item(d *wire.Dispatch, deadline time.Time) admission.Item {
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
	it.RunTime = mq.stats().RunTime
	mq.mu.Lock()
	defer mq.mu.Unlock()
	it.TimeToResponse = mq.timeToFirstToken
	return it
}

// tryStartLoad reports whether the caller has to start a load, and returns how
// long the load is expected to take.
func (mq *modelQueue) tryStartLoad() (time.Duration, bool) {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	if mq.loading {
		return 0, false
	}
	mq.loading = true
	return mq.loadTime, true
}

// finishLoad records how long a load took; zero means that it failed.
func (mq *modelQueue) finishLoad(took time.Duration) {
	mq.mu.Lock()
	defer mq.mu.Unlock()
	mq.loading = false
	if took > 0 {
		mq.loadTime = (mq.loadTime + took) / 2
	}
}

// modelQueue returns the queue of a model and creates it on first use.
func (a *Agent) modelQueue(m ident.Model) (*modelQueue, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if mq, ok := a.modelQueues[m]; ok {
		return mq, nil
	}
	q, err := admission.New(admission.Options{
		Region:      a.o.Settings.Region,
		Concurrency: a.concurrency(m),
		Rand:        a.splitRand(),
	})
	if err != nil {
		return nil, err
	}
	mq := &modelQueue{admitter: newAdmitter(q, a.o.Now), model: m, loadTime: initialLoadEstimate}
	a.modelQueues[m] = mq
	return mq, nil
}

// concurrency returns the concurrency limit of the upstream for the model.
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

// ensureLoaded starts a load of the queue's model unless it is loaded or being
// loaded. Requests wait in the queue until then.
func (a *Agent) ensureLoaded(mq *modelQueue, d *wire.Dispatch) {
	if a.replicas == nil || a.replicas.Loaded(mq.model) {
		return
	}
	estimate, started := mq.tryStartLoad()
	if !started {
		return
	}
	mq.apply(func(now time.Time) []admission.Action { return mq.queue.Pause(now, now.Add(estimate)) })
	a.background.Go(func() { a.load(mq, d.Priority) })
}

// load loads the model of a queue, then resumes the queue or refuses all
// waiting requests. The load does not end with the request that started it,
// since other requests wait for the same load.
func (a *Agent) load(mq *modelQueue, p ident.Priority) {
	start := a.o.Now()
	ctx, cancel := context.WithTimeout(a.workCtx, maxLoadTime)
	defer cancel()
	lease, err := a.replicas.Acquire(ctx, replica.Requirements{Model: mq.model, Priority: p, Prewarm: true})
	if err != nil {
		a.o.Logger.WithError(err).WithField("model", mq.model).Warn("load failed")
		mq.finishLoad(0)
		r := refusalFromError("", err)
		mq.apply(func(now time.Time) []admission.Action {
			refused := mq.queue.RefuseAll(now, r.Code)
			return append(refused, mq.queue.Resume(now)...)
		})
		return
	}
	now := a.o.Now()
	mq.finishLoad(now.Sub(start))
	a.policy.observeLoad(mq.model, now.Sub(start), now)
	mq.apply(func(now time.Time) []admission.Action { return mq.queue.Resume(now) })
	a.holdForWaiters(lease)
}

const (
	// maxLoadTime bounds one load.
	maxLoadTime = 10 * time.Minute
	// waiterGracePeriod is how long a loaded model is held until the waiting
	// requests have their own leases.
	waiterGracePeriod = time.Second
)

// holdForWaiters holds the lease on a loaded model for waiterGracePeriod.
func (a *Agent) holdForWaiters(lease *replica.Lease) {
	defer lease.Release()
	select {
	case <-time.After(waiterGracePeriod):
	case <-a.workCtx.Done():
	}
}
