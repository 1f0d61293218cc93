package transport

import (
	"fmt"
	"time"
)

// KeepAliveTimeoutError reports a connection on which nothing was received within Timeout.
type KeepAliveTimeoutError struct {
	Address string
	Timeout time.Duration
	Err     error
}

// Error implements error.
func (e *KeepAliveTimeoutError) Error() string {
	return fmt.Sprintf("connection to %s timed out: nothing received for %v", e.Address, e.Timeout)
}

// Unwrap returns the underlying error.
func (e *KeepAliveTimeoutError) Unwrap() error { return e.Err }
