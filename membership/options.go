package membership

import "time"

// Defaults of Options.
const (
	DefaultUnlistedTimeout  = 2 * time.Minute
	DefaultRemovedRetention = time.Hour
)

// Options sets the timeouts of a View. Zero fields take the defaults.
type Options struct {
	// UnlistedTimeout is how long a VM that reports remains a member although it
	// has never been in the list. It exceeds the lag of the list.
	UnlistedTimeout time.Duration
	// RemovedRetention is how long an instance that left the list is remembered,
	// so that a delayed report does not add it again.
	RemovedRetention time.Duration
}

func (o Options) withDefaults() Options {
	if o.UnlistedTimeout == 0 {
		o.UnlistedTimeout = DefaultUnlistedTimeout
	}
	if o.RemovedRetention == 0 {
		o.RemovedRetention = DefaultRemovedRetention
	}
	return o
}
