package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/wire"
)

// Policy decides whether a failed attempt is retried. Create one with New.
type Policy struct{ opts Options }

// New returns a Policy. It fails with an *OptionError.
func New(o Options) (*Policy, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Policy{opts: o}, nil
}

// Decide returns what to do after a failure. A retry takes a token from the
// budget.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	if r := p.noRetryReason(f); r != "" {
		return Decision{Reason: r}
	}
	at := now.Add(p.delay(f))
	remaining := f.Deadline.Sub(at)
	if remaining <= f.MinDuration {
		return Decision{Reason: ReasonDeadline}
	}
	if !p.opts.Budget.Take(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, At: at, Remaining: remaining}
}

func (p *Policy) noRetryReason(f Failure) Reason {
	switch {
	case f.ResponseStarted, f.Run != wire.RunStateNotRun && !f.Idempotent:
		return ReasonUnrepeatable
	case isPermanent(f.Code):
		return ReasonPermanent
	case f.Attempts >= p.opts.MaxAttempts:
		return ReasonAttempts
	}
	return ""
}

// delay returns a random delay, uniformly distributed up to the back-off
// interval. If the failure of the first attempt had nothing to do with load,
// another VM is tried at once.
func (p *Policy) delay(f Failure) time.Duration {
	if f.Attempts == 1 && isMisdirected(f.Code) {
		return 0
	}
	b := backoff.ExponentialBackOff{
		InitialInterval: p.opts.InitialDelay,
		Multiplier:      p.opts.Multiplier,
		MaxInterval:     p.opts.MaxDelay,
	}
	b.Reset()
	d := b.NextBackOff()
	for range f.Attempts - 1 {
		d = b.NextBackOff()
	}
	return time.Duration(p.opts.Rand.Int64N(int64(d) + 1))
}
