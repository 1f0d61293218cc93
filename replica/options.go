package replica

import (
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Defaults of Options.
const (
	// DefaultOrderSettle is the maximum time that an order is in transit to an
	// engine on the same VM.
	DefaultOrderSettle = 2 * time.Second
	// DefaultEngineTimeout limits one call to the engine.
	DefaultEngineTimeout = 5 * time.Second
	// DefaultMemoryWait is how long a request waits for running requests to
	// free memory before it is rejected.
	DefaultMemoryWait = time.Second
	// DefaultLoadRetry is the minimum time before a failed order is repeated.
	DefaultLoadRetry = time.Second
	// DefaultWriteRetry is the delay after a failed write of a slot.
	DefaultWriteRetry = 2 * time.Second
	// DefaultRetryAfter is the retry delay that a rejection reports to the
	// router.
	DefaultRetryAfter = time.Second
	// DefaultStateInterval is the interval of engine state reads while no order
	// is in flight.
	DefaultStateInterval = time.Second
	// DefaultRelistInterval is the longest time that a watch is relied on before
	// all allocations are listed again. A watch can stay open without delivering
	// events and without an error; the listing then supplies what was missed.
	DefaultRelistInterval = 10 * time.Minute
)

// The interval of engine state reads while an order is in flight grows from
// minPoll to maxPoll.
const (
	minPoll = 2 * time.Millisecond
	maxPoll = 50 * time.Millisecond
)

// Options configures a Manager. Zero durations take their defaults;
// LoadLimiter, Logger, Metrics and Now may be nil.
type Options struct {
	Environment ident.Environment
	VM          ident.VM
	Incarnation ident.Incarnation
	Store       metastore.Store
	Engine      engine.Client
	// Spec returns a model of the configuration document in force. It must not
	// block.
	Spec        func(ident.Model) (config.Model, bool)
	MemoryMB    int64
	Policy      Policy
	LoadLimiter LoadLimiter
	Logger      log.Interface
	Metrics     tally.Scope
	Now         func() time.Time

	OrderSettle    time.Duration
	EngineTimeout  time.Duration
	MemoryWait     time.Duration
	LoadRetry      time.Duration
	WriteRetry     time.Duration
	RetryAfter     time.Duration
	StateInterval  time.Duration
	RelistInterval time.Duration
}

func (o *Options) check() error {
	switch {
	case o.Environment == "":
		return &OptionsError{Option: "Environment"}
	case o.VM == "":
		return &OptionsError{Option: "VM"}
	case o.Incarnation == 0:
		return &OptionsError{Option: "Incarnation"}
	case o.Store == nil:
		return &OptionsError{Option: "Store"}
	case o.Engine == nil:
		return &OptionsError{Option: "Engine"}
	case o.Spec == nil:
		return &OptionsError{Option: "Spec"}
	case o.Policy == nil:
		return &OptionsError{Option: "Policy"}
	case o.MemoryMB <= 0:
		return &OptionsError{Option: "MemoryMB"}
	}
	return nil
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	setDefault(&o.OrderSettle, DefaultOrderSettle)
	setDefault(&o.EngineTimeout, DefaultEngineTimeout)
	setDefault(&o.MemoryWait, DefaultMemoryWait)
	setDefault(&o.LoadRetry, DefaultLoadRetry)
	setDefault(&o.WriteRetry, DefaultWriteRetry)
	setDefault(&o.RetryAfter, DefaultRetryAfter)
	setDefault(&o.StateInterval, DefaultStateInterval)
	setDefault(&o.RelistInterval, DefaultRelistInterval)
}

func setDefault(value *time.Duration, def time.Duration) {
	if *value == 0 {
		*value = def
	}
}
