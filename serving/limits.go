package serving

import "time"

// Limits bound what callers may send. Zero means unbounded.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be kept without a request.
	IdleTimeout time.Duration
}
