package transport

import (
	"fmt"
	"time"
)

// DialIdleTimeoutError reports a connection on which the dialing end received nothing
// within Timeout.
type DialIdleTimeoutError struct {
	Address string
	Timeout time.Duration
	Err     error
}

// Error implements error.
func (e *DialIdleTimeoutError) Error() string {
	return fmt.Sprintf("connection to %s timed out: nothing received for %v", e.Address, e.Timeout)
}

// Unwrap returns the underlying error.
func (e *DialIdleTimeoutError) Unwrap() error { return e.Err }
