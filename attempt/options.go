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

// Options configures a Table. Zero bounds take the defaults.
type Options struct {
	// Incarnation is that of the agent.
	Incarnation ident.Incarnation
	// Retention is how long an ended attempt without a claim stays in the table. It
	// must be longer than any request's deadline.
	Retention time.Duration
	// KeyedRetention is the same for claimed attempts. It must be at least the
	// environment's claim window, and defaults to Retention.
	KeyedRetention time.Duration
	// MaxEntries bounds the attempts in the table. When it is reached, dispatches
	// are refused as overload.
	MaxEntries int
	// MaxFloors bounds the sequences with a floor. When it is reached, ended
	// attempts of further sequences stay in the table.
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
