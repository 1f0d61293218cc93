package keepalive

import "time"

// entry is the history of one key.
type entry[K comparable] struct {
	key K
	// last is when the last request arrived, in nanoseconds since 1970.
	last int64
	gaps gaps
}

// idle returns how long the key has been without a request at now.
func (e *entry[K]) idle(now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixNano()-e.last))
}
