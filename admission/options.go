package admission

import (
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	DefaultMinConcurrency = 1
	DefaultMaxWaiting     = 256
	DefaultCost           = 100 * time.Millisecond
	DefaultMinRetryAfter  = 250 * time.Millisecond
	DefaultMaxRetryAfter  = time.Minute
	DefaultWaitShare      = 0.5
	DefaultPriorityLag    = 2 * time.Second
)

// Options configures a Queue.
type Options struct {
	// Region is where the upstream is.
	Region ident.Region
	// Concurrency is how many requests the upstream serves at once, as
	// configured for the model. The adaptive limit never exceeds it.
	Concurrency int
	// MinConcurrency is the lower bound of the adaptive limit.
	MinConcurrency int
	// FixedConcurrency disables the adaptive limit.
	FixedConcurrency bool
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
	// Cost is the expected run time of a request until some have finished.
	Cost time.Duration
	// WaitShare is the fraction of a request's slack before its deadline that it
	// may be expected to spend in the queue, over 0 and at most 1. The rest
	// absorbs estimation errors.
	WaitShare float64
	// PriorityLag is how far a region may fall behind others, in time of the
	// whole upstream, for each step by which the work of the others is more
	// urgent. The most urgent priority always starts first.
	PriorityLag time.Duration
	// MinRetryAfter and MaxRetryAfter bound Refuse.RetryAfter before jitter.
	MinRetryAfter, MaxRetryAfter time.Duration
	// Rand supplies the jitter of RetryAfter.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.MinConcurrency == 0 {
		o.MinConcurrency = DefaultMinConcurrency
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.Cost == 0 {
		o.Cost = DefaultCost
	}
	if o.WaitShare == 0 {
		o.WaitShare = DefaultWaitShare
	}
	if o.PriorityLag == 0 {
		o.PriorityLag = DefaultPriorityLag
	}
	if o.MinRetryAfter == 0 {
		o.MinRetryAfter = DefaultMinRetryAfter
	}
	if o.MaxRetryAfter == 0 {
		o.MaxRetryAfter = DefaultMaxRetryAfter
	}
	return o
}

func (o Options) validate() error {
	switch {
	case o.Concurrency < 1:
		return &OptionError{Field: "Concurrency"}
	case o.MinConcurrency < 1 || o.MinConcurrency > o.Concurrency:
		return &OptionError{Field: "MinConcurrency"}
	case o.MaxWaiting < 1:
		return &OptionError{Field: "MaxWaiting"}
	case o.Cost < 0:
		return &OptionError{Field: "Cost"}
	case o.WaitShare <= 0 || o.WaitShare > 1:
		return &OptionError{Field: "WaitShare"}
	case o.PriorityLag < 0:
		return &OptionError{Field: "PriorityLag"}
	case o.MinRetryAfter < 0 || o.MaxRetryAfter < o.MinRetryAfter:
		return &OptionError{Field: "MaxRetryAfter"}
	case o.Rand == nil:
		return &OptionError{Field: "Rand"}
	}
	return nil
}
