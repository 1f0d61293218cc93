package membership

import "time"

// Defaults of Options.
const (
	DefaultUnlisted = 2 * time.Minute
	DefaultGone     = time.Hour
)

// Options sets the times of a View. Zero fields take the defaults.
type Options struct {
	// Unlisted is how long a VM that reports counts as there although the list
	// has never shown it. It exceeds the lag of the list.
	Unlisted time.Duration
	// Gone is how long an instance that left the list is remembered, so that a
	// late report does not bring it back.
	Gone time.Duration
}

func (o Options) withDefaults() Options {
	if o.Unlisted == 0 {
		o.Unlisted = DefaultUnlisted
	}
	if o.Gone == 0 {
		o.Gone = DefaultGone
	}
	return o
}
