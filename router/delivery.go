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

// delivery handles one request: it makes attempts until one yields a complete response
// or the failure is final.
type delivery struct {
	s   *Server
	env *environment
	req *Request
	out sink
	// deadlineTimer cancels the request. Each part of a stream resets it.
	deadlineTimer *time.Timer
	// avoid holds the VMs that have refused or failed the request.
	avoid    map[ident.VM]bool
	attempts int
	// deadlineUnreachable is set when no VM is expected to respond before the deadline.
	deadlineUnreachable bool
	// notRunAttempt is the latest claimed attempt that was not run, or empty.
	notRunAttempt ident.Attempt
}

// run returns nil after a complete response.
func (d *delivery) run(ctx context.Context) *Failure {
	d.avoid = make(map[ident.VM]bool)
	for {
		failure := d.attemptOnce(ctx)
		if failure == nil {
			return nil
		}
		if ctx.Err() != nil || d.deadlineUnreachable || !d.awaitRetry(ctx, failure) {
			d.releaseNotRun(failure)
			return failure
		}
	}
}

// attemptOnce makes one attempt. A non-idempotent request with a key is claimed first.
func (d *delivery) attemptOnce(ctx context.Context) *Failure {
	d.attempts++
	if d.req.NonIdempotent && d.req.Key != "" {
		return d.attemptClaimed(ctx)
	}
	t, failure := d.choose()
	if failure != nil {
		d.prewarmIfLate(failure)
		return failure
	}
	x := &exchange{d: d, target: t, attempt: d.s.attemptNames.Unkeyed()}
	failure = x.dispatch(ctx)
	d.s.fleet.ended(t, failure)
	if failure != nil {
		d.avoid[t.vm] = true
	}
	return failure
}

// choose picks the agent for the next attempt. VMs that have refused or failed the
// request are excluded while there are others.
//
// A request that no VM can serve before its deadline is refused at once: retries would
// delay its final response and use up the retry budget of other requests.
func (d *delivery) choose() (target, *Failure) {
	t, failure := d.s.fleet.choose(d.req, d.avoid)
	d.deadlineUnreachable = failure != nil && failure.Code == wire.CodeDeadline
	if failure == nil || failure.Code != wire.CodeNoReplica || len(d.avoid) == 0 {
		return t, failure
	}
	clear(d.avoid)
	return d.s.fleet.choose(d.req, d.avoid)
}

// awaitRetry reports whether the request is to be retried, after waiting for the retry
// delay.
func (d *delivery) awaitRetry(ctx context.Context, f *Failure) bool {
	now := d.s.o.Now()
	decision := d.env.decideRetry(now, retry.Failure{
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

// attemptClaimed makes one attempt of a non-idempotent request with an idempotency key.
func (d *delivery) attemptClaimed(ctx context.Context) *Failure {
	var chosen *target
	key := idempotency.ScopedKey(d.req.Caller, d.req.Key)
	fingerprint := idempotency.Fingerprint(d.req.Method, d.req.Path, d.req.Body)
	outcome, err := d.env.claims.Claim(ctx, key, fingerprint, func() (idempotency.Target, error) {
		t, failure := d.choose()
		if failure != nil {
			return idempotency.Target{}, failure
		}
		chosen = &t
		return idempotency.Target{VM: t.vm, Incarnation: t.incarnation}, nil
	})
	if err != nil {
		d.discard(chosen)
		d.s.o.Logger.WithError(err).WithField("request", d.req.ID).Info("idempotency key not claimed")
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
	return d.recordNotRun(ctx, key, o, failure)
}

// join attaches to an attempt that another request with the same key has started.
func (d *delivery) join(ctx context.Context, key string, o idempotency.Outcome) *Failure {
	vm, ok := d.s.fleet.find(o.Target.VM)
	if !ok {
		return &Failure{Code: wire.CodeUpstreamLost, Run: wire.RunStateUnknown, Detail: "the upstream of the earlier attempt is gone"}
	}
	t := target{vm: vm.ID, address: vm.Address, incarnation: o.Target.Incarnation}
	x := &exchange{d: d, target: t, attempt: o.Attempt, claimed: true}
	return d.recordNotRun(ctx, key, o, x.attach(ctx))
}

// recordNotRun returns f. If f reports that the attempt was not run, it first records
// that, so that another attempt can replace it in the claim.
func (d *delivery) recordNotRun(ctx context.Context, key string, o idempotency.Outcome, f *Failure) *Failure {
	if f == nil || f.Run != wire.RunStateNotRun {
		return f
	}
	d.avoid[o.Target.VM] = true
	d.env.claims.RecordNotRun(ctx, key, o.Attempt)
	d.notRunAttempt = o.Attempt
	return f
}

// releaseTimeout limits the call that releases a claim.
const releaseTimeout = 2 * time.Second

// releaseNotRun releases the claim of a request that finally failed without having
// run.
func (d *delivery) releaseNotRun(f *Failure) {
	if d.notRunAttempt == "" || f.Run != wire.RunStateNotRun {
		return
	}
	d.s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		key := idempotency.ScopedKey(d.req.Caller, d.req.Key)
		if err := d.env.claims.Release(ctx, key, d.notRunAttempt); err != nil {
			d.s.o.Logger.WithError(err).WithField("attempt", d.notRunAttempt).Debug("claim not released")
		}
	})
}

// discard counts the end of the attempt at a target that was chosen but not used.
func (d *delivery) discard(t *target) {
	if t != nil {
		d.s.fleet.ended(*t, notRun(wire.CodeCanceled, "not used"))
	}
}

// claimFailure converts an error of package idempotency into a failure. After any of
// them this request was not run. But the run state applies to earlier requests with the
// key too, and one of those may have run if the claims could not be read or the claim
// has expired: it is unknown then.
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

// prewarmIfLate prewarms the model of a request that was refused because the load would
// take longer than its deadline, so that the model is loaded when the caller retries.
func (d *delivery) prewarmIfLate(f *Failure) {
	if f.Code != wire.CodeDeadline || !d.req.IsModel() {
		return
	}
	d.s.background.Go(func() { d.s.prewarm(d.req) })
}
