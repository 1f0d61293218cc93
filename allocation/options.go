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
	// DefaultTakeoverDelay is how long each router after the first in the
	// ranking of a model waits for the one before it to write.
	DefaultTakeoverDelay = 2 * time.Second
	// DefaultRemovalDelay is how long lists must lack a VM before it counts as
	// removed.
	DefaultRemovalDelay = 10 * time.Second
	// DefaultRetryDelay is the delay after a failed write.
	DefaultRetryDelay = time.Second
	// DefaultRelistInterval is the longest time that a watch is relied on before
	// all allocations are listed again. A watch can stay open without delivering
	// events and without an error; the listing then supplies what was missed.
	DefaultRelistInterval = 10 * time.Minute
	// DefaultWritesPerSecond limits the write rate of one planner.
	DefaultWritesPerSecond = 20
)

// Options configures a Planner. Zero durations take their defaults; Logger,
// Metrics, Now and Rand may be nil.
type Options struct {
	Environment ident.Environment
	// Self is the VM of this router, as listed by the platform.
	Self        ident.VM
	Incarnation ident.Incarnation
	Store       metastore.Store
	Logger      log.Interface
	Metrics     tally.Scope
	Now         func() time.Time
	// Rand returns numbers in [0, 1), used for jitter.
	Rand func() float64

	// MaxListAge, if not zero, bounds how old the platform's list can be. It
	// allows a planner to remove the slots of a VM that disappeared before any
	// running router had seen it in the list. If it is zero, such a slot
	// remains until it is removed by hand.
	MaxListAge      time.Duration
	TakeoverDelay   time.Duration
	RemovalDelay    time.Duration
	RetryDelay      time.Duration
	RelistInterval  time.Duration
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
	setDefault(&o.TakeoverDelay, DefaultTakeoverDelay)
	setDefault(&o.RemovalDelay, DefaultRemovalDelay)
	setDefault(&o.RetryDelay, DefaultRetryDelay)
	setDefault(&o.RelistInterval, DefaultRelistInterval)
	setDefault(&o.WritesPerSecond, DefaultWritesPerSecond)
}

func setDefault[T ~int64 | ~float64](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}
