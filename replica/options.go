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
	// DefaultOrderSettle bounds the time an order is in transit to an engine on
	// the same VM.
	DefaultOrderSettle = 2 * time.Second
	// DefaultEngineTimeout bounds one call to the engine.
	DefaultEngineTimeout = 5 * time.Second
	// DefaultMemoryWait is how long a need waits for running requests to free
	// memory before it is refused.
	DefaultMemoryWait = time.Second
	// DefaultLoadRetry is how long a failed order is not repeated.
	DefaultLoadRetry = time.Second
	// DefaultWriteRetry is the pause after a failed write of a slot.
	DefaultWriteRetry = 2 * time.Second
	// DefaultRetryAfter is what a refusal tells the router to wait.
	DefaultRetryAfter = time.Second
	// DefaultStateEvery is the interval of engine state reads without an open
	// order.
	DefaultStateEvery = time.Second
	// DefaultRelistEvery is the longest time for which a watch is trusted
	// without a new listing.
	DefaultRelistEvery = 10 * time.Minute
)

// The interval of engine state reads while an order is open grows from
// minPoll to maxPoll.
const (
	minPoll = 2 * time.Millisecond
	maxPoll = 50 * time.Millisecond
)

// Options configures a Manager. Durations that are zero take their defaults;
// Gate, Logger, Metrics and Now may be nil.
type Options struct {
	Environment ident.Environment
	VM          ident.VM
	Incarnation ident.Incarnation
	Store       metastore.Store
	Engine      engine.Client
	// Spec returns a model of the document in force. It must not block.
	Spec        func(ident.Model) (config.Model, bool)
	MemoryMB    int64
	Policy      Policy
	LoadLimiter LoadLimiter
	Logger      log.Interface
	Metrics     tally.Scope
	Now         func() time.Time

	OrderSettle   time.Duration
	EngineTimeout time.Duration
	MemoryWait    time.Duration
	LoadRetry     time.Duration
	WriteRetry    time.Duration
	RetryAfter    time.Duration
	StateEvery    time.Duration
	RelistEvery   time.Duration
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
	setDefault(&o.StateEvery, DefaultStateEvery)
	setDefault(&o.RelistEvery, DefaultRelistEvery)
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}
