package allocation

import (
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Defaults of Options.
const (
	// DefaultTakeover is how long each router after the first in a model's rank
	// waits for the one before it to write.
	DefaultTakeover = 2 * time.Second
	// DefaultConfirm is how long lists must lack a VM before it is gone.
	DefaultConfirm = 10 * time.Second
	// DefaultRetry is the pause after a write that failed.
	DefaultRetry = time.Second
	// DefaultRelistEvery is the longest time for which a watch is trusted.
	DefaultRelistEvery = 10 * time.Minute
	// DefaultWritesPerSecond limits the writes of one planner.
	DefaultWritesPerSecond = 20
)

// Options configures a Planner. Zero durations take their defaults; Logger,
// Metrics, Now and Rand may be nil.
type Options struct {
	Environment ident.Environment
	// Self is the VM of this router, as the platform lists it.
	Self        ident.VM
	Incarnation ident.Incarnation
	Store       metastore.Store
	Logger      log.Interface
	Metrics     tally.Scope
	Now         func() time.Time
	// Rand gives numbers in [0, 1) for jitter.
	Rand func() float64

	// ListLag, if not zero, bounds how old the platform's list can be. It lets a
	// planner free the slots of a VM that went away before any running router
	// had seen it. With zero such a slot stays until it is removed by hand.
	ListLag         time.Duration
	Takeover        time.Duration
	RemovalDelay    time.Duration
	Retry           time.Duration
	RelistEvery     time.Duration
	WritesPerSecond float64
}

func (o *Options) check() error {
	switch {
	case o.Environment == "":
		return &OptionsError{Option: "Environment"}
	case o.Self == "":
		return &OptionsError{Option: "Self"}
	case o.Incarnation == 0:
		return &OptionsError{Option: "Incarnation"}
	case o.Store == nil:
		return &OptionsError{Option: "Store"}
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
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	setDefault(&o.Takeover, DefaultTakeover)
	setDefault(&o.RemovalDelay, DefaultConfirm)
	setDefault(&o.Retry, DefaultRetry)
	setDefault(&o.RelistEvery, DefaultRelistEvery)
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
}

func setDefault[T ~int64 | ~float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
