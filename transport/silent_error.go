package transport

import (
	"fmt"
	"time"
)

// SilentError reports a connection that gave no sign of life.
type SilentError struct {
	Address string
	Timeout time.Duration
	Err     error
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("connection to %s silent for %v", e.Address, e.Timeout)
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return e.Err }
