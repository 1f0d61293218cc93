package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/laureltally/laureltally/wire"
)

// Policy decides whether a failed attempt is repeated. Create one with New.
type Policy struct{ opts Options }

// New returns a Policy. It fails with an *OptionError.
func New(o Options) (*Policy, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Policy{opts: o}, nil
}

// Decide tells what to do after a failure. A retry is taken from the budget.
func (p *Policy) Decide(now time.Time, f Failure) Decision {
	if r := p.forbids(f); r != "" {
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

func (p *Policy) forbids(f Failure) Reason {
	switch {
	case f.ResponseStarted, f.Run != wire.RunStateNotRun && !f.Idempotent:
		return ReasonUnrepeatable
	case permanent(f.Code):
		return ReasonPermanent
	case f.Attempts >= p.opts.MaxAttempts:
		return ReasonAttempts
	}
	return ""
}

// delay is drawn evenly from the whole back-off interval, save that another VM
// is asked at once when the failure says nothing of the load.
func (p *Policy) delay(f Failure) time.Duration {
	if f.Attempts == 1 && misdirected(f.Code) {
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
