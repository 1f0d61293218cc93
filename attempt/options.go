package attempt

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	DefaultMaxEntries = 200_000
	DefaultMaxFloors  = 65_536
	DefaultRetention  = 15 * time.Minute
)

// Options sets an agent's table. Zero bounds take the defaults.
type Options struct {
	// Incarnation is the agent's own.
	Incarnation ident.Incarnation
	// Retention is how long an ended attempt without a claim is remembered. It
	// is longer than any request's deadline.
	Retention time.Duration
	// KeyedRetention is the same for claimed attempts, and no less than the
	// claim window of the environment. It defaults to Retention.
	KeyedRetention time.Duration
	// MaxEntries bounds the attempts in the table. At the bound, dispatches are
	// refused as overload.
	MaxEntries int
	// MaxFloors bounds the router incarnations whose floors are kept. Beyond
	// it, ended attempts of further ones are not forgotten.
	MaxFloors int
}

func (o Options) withDefaults() Options {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	o.KeyedRetention = max(o.KeyedRetention, o.Retention)
	if o.MaxEntries == 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	if o.MaxFloors == 0 {
		o.MaxFloors = DefaultMaxFloors
	}
	return o
}
