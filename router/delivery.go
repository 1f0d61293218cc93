package router

import (
	"context"
	"errors"
	"time"

	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/retry"
	"github.com/laureltally/laureltally/wire"
)

// delivery is the work on one request: attempts until one gives a whole answer
// or the failure is final.
type delivery struct {
	s     *Server
	env   *environment
	req   *Request
	out   sink
	limit *time.Timer
	// avoid holds the VMs that have refused or failed the request.
	avoid    map[ident.VM]bool
	attempts int
	// hopeless is set when no VM is expected to answer in time.
	hopeless bool
	// refuted is the latest claimed attempt that was not run.
	refuted ident.Attempt
}

// run returns nil after a whole answer.
func (d *delivery) run(ctx context.Context) *Failure {
	d.avoid = make(map[ident.VM]bool)
	for {
		failure := d.once(ctx)
		if failure == nil {
			return nil
		}
		if ctx.Err() != nil || d.hopeless || !d.again(ctx, failure) {
			d.releaseRefuted(failure)
			return failure
		}
	}
}

// once makes one attempt, claimed if the request needs a claim.
func (d *delivery) once(ctx context.Context) *Failure {
	d.attempts++
	if d.req.NonIdempotent && d.req.Key != "" {
		return d.claimed(ctx)
	}
	t, failure := d.choose()
	if failure != nil {
		d.wakeIfLate(failure)
		return failure
	}
	x := &exchange{d: d, target: t, attempt: d.s.minter.Unkeyed()}
	failure = x.dispatch(ctx)
	d.s.fleet.ended(t, failure)
	if failure != nil {
		d.avoid[t.vm] = true
	}
	return failure
}

// choose picks the agent for the next attempt. VMs that have refused or failed
// the request are left out while there are others.
//
// A request that no VM can answer in time is refused at once: its retries would
// delay its final answer and use up the budget of others.
func (d *delivery) choose() (target, *Failure) {
	t, failure := d.s.fleet.choose(d.req, d.avoid)
	d.hopeless = failure != nil && failure.Code == wire.CodeDeadline
	if failure == nil || failure.Code != wire.CodeNoReplica || len(d.avoid) == 0 {
		return t, failure
	}
	clear(d.avoid)
	return d.s.fleet.choose(d.req, d.avoid)
}

// again waits for the next attempt if there may be one.
func (d *delivery) again(ctx context.Context, f *Failure) bool {
	now := d.s.o.Now()
	decision := d.env.decide(now, retry.Failure{
		Run:             f.Run,
		Code:            f.Code,
		Idempotent:      !d.req.NonIdempotent,
		Attempts:        d.attempts,
		Deadline:        d.req.Deadline,
		ResponseStarted: d.out.Started(),
	})
	if !decision.Retry {
		return false
	}
	d.s.o.Metrics.Counter("retries").Inc(1)
	wait := time.NewTimer(decision.At.Sub(now))
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// claimed makes one attempt of a keyed non-idempotent request.
func (d *delivery) claimed(ctx context.Context) *Failure {
	var chosen *target
	key := idempotency.ScopedKey(d.req.Caller, d.req.Key)
	print := idempotency.Fingerprint(d.req.Method, d.req.Path, d.req.Body)
	outcome, err := d.env.claims.Claim(ctx, key, print, func() (idempotency.Target, error) {
		t, failure := d.choose()
		if failure != nil {
			return idempotency.Target{}, failure
		}
		chosen = &t
		return idempotency.Target{VM: t.vm, Incarnation: t.incarnation}, nil
	})
	if err != nil {
		d.discard(chosen)
		d.s.o.Logger.WithError(err).WithField("request", d.req.ID).Info("key not claimed")
		return claimFailure(err)
	}
	switch outcome.Kind {
	case idempotency.Dispatch:
		return d.dispatchClaimed(ctx, key, outcome, *chosen)
	case idempotency.Join:
		d.discard(chosen)
		return d.join(ctx, key, outcome)
	default:
		d.discard(chosen)
		return &Failure{Code: wire.CodeUpstreamLost, Run: wire.RunStateUnknown, Detail: "an earlier attempt with this key may have run; its upstream cannot tell any more"}
	}
}

func (d *delivery) dispatchClaimed(ctx context.Context, key string, o idempotency.Outcome, t target) *Failure {
	x := &exchange{d: d, target: t, attempt: o.Attempt, claimed: true}
	failure := x.dispatch(ctx)
	d.s.fleet.ended(t, failure)
	return d.settle(ctx, key, o, failure)
}

// join attaches to an attempt that another request with the key has begun.
func (d *delivery) join(ctx context.Context, key string, o idempotency.Outcome) *Failure {
	vm, ok := d.s.fleet.find(o.Target.VM)
	if !ok {
		return &Failure{Code: wire.CodeUpstreamLost, Run: wire.RunStateUnknown, Detail: "the upstream of the earlier attempt is gone"}
	}
	t := target{vm: vm.ID, address: vm.Address, incarnation: o.Target.Incarnation}
	x := &exchange{d: d, target: t, attempt: o.Attempt, claimed: true}
	return d.settle(ctx, key, o, x.attach(ctx))
}

// settle tells the claims that an attempt was not run, so that the next one may
// take its place.
func (d *delivery) settle(ctx context.Context, key string, o idempotency.Outcome, f *Failure) *Failure {
	if f == nil || f.Run != wire.RunStateNotRun {
		return f
	}
	d.avoid[o.Target.VM] = true
	d.env.claims.RecordNotRun(ctx, key, o.Attempt)
	d.refuted = o.Attempt
	return f
}

// releaseTimeout bounds the call that frees a claim.
const releaseTimeout = 2 * time.Second

// releaseRefuted frees the claim of a request that is given up as not run.
func (d *delivery) releaseRefuted(f *Failure) {
	if d.refuted == "" || f.Run != wire.RunStateNotRun {
		return
	}
	d.s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		key := idempotency.ScopedKey(d.req.Caller, d.req.Key)
		if err := d.env.claims.Release(ctx, key, d.refuted); err != nil {
			d.s.o.Logger.WithError(err).WithField("attempt", d.refuted).Debug("claim not released")
		}
	})
}

// discard ends the count of a target that was chosen but not used.
func (d *delivery) discard(t *target) {
	if t != nil {
		d.s.fleet.ended(*t, notRun(wire.CodeCanceled, "not used"))
	}
}

// claimFailure turns an error of package claim into a failure. All of them mean
// that this call was not run. The caller means the earlier requests with the key
// too, of which one may have run where the claims could not be read and where the
// claim is past its window: only unknown is true then.
func claimFailure(err error) *Failure {
	var (
		own      *Failure
		reused   *idempotency.KeyReusedError
		expired  *idempotency.ExpiredError
		overflow *idempotency.BucketFullError
		down     *idempotency.PlatformError
	)
	f := &Failure{Code: wire.CodeInternal, Run: wire.RunStateUnknown, Detail: "the key could not be claimed"}
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &reused):
		f.Code = wire.CodeKeyReused
		f.Run = wire.RunStateNotRun
		f.Detail = err.Error()
	case errors.As(err, &expired):
		f.Code = wire.CodeResponseExpired
		f.Detail = err.Error()
	case errors.As(err, &overflow):
		f.Code = wire.CodeOverloaded
		f.Run = wire.RunStateNotRun
		f.RetryAfter = overflow.RetryAfter
	case errors.As(err, &down):
		f.Code = wire.CodePlatformUnavailable
		f.Detail = "the platform is unavailable, so that the key cannot be looked up"
		f.RetryAfter = down.RetryAfter
	case errors.Is(err, context.DeadlineExceeded):
		f.Code = wire.CodeDeadline
	case errors.Is(err, context.Canceled):
		f.Code = wire.CodeCanceled
	}
	return f
}

// wakeIfLate lets a model be loaded although the request was refused because
// the load would take too long for it, so that the caller finds it loaded.
func (d *delivery) wakeIfLate(f *Failure) {
	if f.Code != wire.CodeDeadline || !d.req.IsModel() {
		return
	}
	d.s.background.Go(func() { d.s.wake(d.req) })
}
