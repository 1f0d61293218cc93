package retry

import "time"

// hedgeStep is the relative step by which the quantile estimate is adjusted.
const hedgeStep = 0.02

// Hedger decides when a slow idempotent call gets a second attempt on another
// VM. Calls of different kinds need a Hedger each, because it learns their
// latency.
type Hedger struct {
	opts            HedgeOptions
	samples         int
	latencyQuantile float64
}

// NewHedger returns a Hedger. It fails with an *OptionError.
func NewHedger(o HedgeOptions) (*Hedger, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	return &Hedger{opts: o}, nil
}

// ObserveLatency records the time from the first attempt to the response.
func (h *Hedger) ObserveLatency(latency time.Duration) {
	h.samples++
	if h.samples == 1 {
		h.latencyQuantile = float64(latency)
		return
	}
	if float64(latency) > h.latencyQuantile {
		h.latencyQuantile *= 1 + hedgeStep*h.opts.Quantile
	} else {
		h.latencyQuantile *= 1 - hedgeStep*(1-h.opts.Quantile)
	}
}

// Delay returns how long to wait for a response before calling Hedge. It
// returns false if the call is not hedged, because it is not idempotent or too
// few latencies have been observed.
func (h *Hedger) Delay(idempotent bool) (time.Duration, bool) {
	if !idempotent || h.samples < h.opts.MinSeen {
		return 0, false
	}
	return max(h.opts.MinDelay, time.Duration(h.latencyQuantile)), true
}

// Hedge reports whether a second attempt starts now, and if so takes a token
// from the budget. minDuration is the least time that the attempt would take.
func (h *Hedger) Hedge(now, deadline time.Time, minDuration time.Duration) bool {
	return deadline.Sub(now) > minDuration && h.opts.Budget.Take(now)
}
