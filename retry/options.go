package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	DefaultMaxAttempts  = 3
	DefaultInitialDelay = 20 * time.Millisecond
	DefaultMaxDelay     = time.Second
	DefaultMultiplier   = 3
)

// Options configures a Policy.
type Options struct {
	// MaxAttempts bounds the attempts of one request, including the first.
	MaxAttempts int
	// InitialDelay, Multiplier and MaxDelay define the exponential back-off.
	InitialDelay, MaxDelay time.Duration
	Multiplier             float64
	// Budget limits the retries of all requests.
	Budget *Budget
	// Rand supplies the jitter of the delays.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.InitialDelay == 0 {
		o.InitialDelay = DefaultInitialDelay
	}
	if o.MaxDelay == 0 {
		o.MaxDelay = DefaultMaxDelay
	}
	if o.Multiplier == 0 {
		o.Multiplier = DefaultMultiplier
	}
	return o
}

func (o Options) validate() error {
	switch {
	case o.MaxAttempts < 1:
		return &OptionError{Field: "MaxAttempts"}
	case o.InitialDelay < 0 || o.MaxDelay < o.InitialDelay:
		return &OptionError{Field: "MaxDelay"}
	case o.Multiplier < 1:
		return &OptionError{Field: "Multiplier"}
	case o.Budget == nil:
		return &OptionError{Field: "Budget"}
	case o.Rand == nil:
		return &OptionError{Field: "Rand"}
	}
	return nil
}
