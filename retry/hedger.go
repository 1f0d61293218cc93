package retry

import "time"

// hedgeStep is the relative step by which the quantile follows the answers.
const hedgeStep = 0.02

// Hedger decides when an idempotent call that is slow gets a second attempt on
// another VM. One Hedger serves calls of one kind, since it learns their times.
type Hedger struct {
	opts  HedgeOptions
	seen  int
	delay float64
}

// NewHedger returns a Hedger. It fails with an *OptionError.
func NewHedger(o HedgeOptions) (*Hedger, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Hedger{opts: o}, nil
}

// ObserveLatency takes the time that an answer took from the first attempt on.
func (h *Hedger) ObserveLatency(took time.Duration) {
	h.seen++
	if h.seen == 1 {
		h.delay = float64(took)
		return
	}
	if float64(took) > h.delay {
		h.delay *= 1 + hedgeStep*h.opts.Quantile
	} else {
		h.delay *= 1 - hedgeStep*(1-h.opts.Quantile)
	}
}

// Delay is how long to wait for an answer before Hedge is asked. It returns
// false if calls are not hedged: the call is not idempotent or too little is
// known.
func (h *Hedger) Delay(idempotent bool) (time.Duration, bool) {
	if !idempotent || h.seen < h.opts.MinSeen {
		return 0, false
	}
	return max(h.opts.MinDelay, time.Duration(h.delay)), true
}

// Hedge tells whether a second attempt starts now. Need is the least time that
// it would take. It is taken from the budget.
func (h *Hedger) Hedge(now, deadline time.Time, need time.Duration) bool {
	return deadline.Sub(now) > need && h.opts.Budget.Take(now)
}
