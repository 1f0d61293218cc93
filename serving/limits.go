package serving

import "time"

// Limits are the limits on callers. Zero means unbounded.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time allowed to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
}
