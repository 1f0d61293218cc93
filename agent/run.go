package agent

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/replica"
	"github.com/laureltally/laureltally/response"
	"github.com/laureltally/laureltally/wire"
)

// run executes one accepted attempt and writes its response or refusal.
func (a *Agent) run(ctx context.Context, d *wire.Dispatch, w *response.Writer, accepted time.Time) {
	deadline := accepted.Add(d.Remaining)
	mq, err := a.modelQueue(d.Model)
	if err != nil {
		a.refuse(d, w, refusalFromError(d.Attempt, err))
		return
	}
	a.ensureLoaded(mq, d)
	if r := mq.admit(ctx, mq.item(d, deadline)); r != nil {
		a.refuse(d, w, r)
		return
	}
	result := admission.Failed
	defer func() { mq.finish(d.Attempt, result) }()
	release, r := a.acquire(ctx, d, deadline)
	if r != nil {
		a.refuse(d, w, r)
		return
	}
	defer release()
	result = a.execute(ctx, mq, d, w, deadline)
}

// acquire leases the model and the adapter for the duration of the attempt. The
// returned function releases the lease.
func (a *Agent) acquire(ctx context.Context, d *wire.Dispatch, deadline time.Time) (func(), *wire.Refusal) {
	if a.replicas == nil {
		return func() {}, nil
	}
	lease, err := a.replicas.Acquire(ctx, replica.Requirements{
		Model:    d.Model,
		Adapter:  d.Adapter,
		Priority: d.Priority,
		Deadline: deadline,
	})
	if err != nil {
		a.o.Logger.WithError(err).WithField("request", d.Request).WithField("attempt", d.Attempt).Info("model not acquired")
		return nil, refusalFromError(d.Attempt, err)
	}
	return lease.Release, nil
}

// refuse ends an attempt that was not sent to the upstream. The attempt table
// decides whether it may be reported as not run.
func (a *Agent) refuse(d *wire.Dispatch, w *response.Writer, r *wire.Refusal) {
	a.mu.Lock()
	withdrawn := a.table.Withdraw(a.o.Now(), d.Attempt)
	a.mu.Unlock()
	if !withdrawn {
		r.Run = wire.RunStateUnknown
	}
	r.Attempt = d.Attempt
	a.o.Metrics.Tagged(map[string]string{"code": string(r.Code)}).Counter("refused").Inc(1)
	a.o.Logger.WithField("request", d.Request).
		WithField("attempt", d.Attempt).
		WithField("code", r.Code).
		WithField("run", r.Run).
		Info("attempt refused")
	_ = w.Refuse(*r)
}
