package retry

import "time"

// Defaults of HedgeOptions.
const (
	DefaultHedgeQuantile = 0.95
	DefaultHedgeMinDelay = 5 * time.Millisecond
	DefaultHedgeMinSeen  = 50
)

// HedgeOptions configures a Hedger.
type HedgeOptions struct {
	// Quantile is the quantile of the latency after which a second attempt is
	// made, over 0 and under 1.
	Quantile float64
	// MinDelay is the least delay of a second attempt.
	MinDelay time.Duration
	// MinSeen is how many latencies must be observed before any call is hedged.
	MinSeen int
	// Budget limits second attempts together with retries.
	Budget *Budget
}

func (o HedgeOptions) withDefaults() HedgeOptions {
	if o.Quantile == 0 {
		o.Quantile = DefaultHedgeQuantile
	}
	if o.MinDelay == 0 {
		o.MinDelay = DefaultHedgeMinDelay
	}
	if o.MinSeen == 0 {
		o.MinSeen = DefaultHedgeMinSeen
	}
	return o
}

func (o HedgeOptions) validate() error {
	switch {
	case o.Quantile <= 0 || o.Quantile >= 1:
		return &OptionError{Field: "Quantile"}
	case o.MinDelay < 0:
		return &OptionError{Field: "MinDelay"}
	case o.MinSeen < 1:
		return &OptionError{Field: "MinSeen"}
	case o.Budget == nil:
		return &OptionError{Field: "Budget"}
	}
	return nil
}
