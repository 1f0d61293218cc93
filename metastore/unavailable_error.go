package metastore

import (
	"fmt"
	"time"
)

// UnavailableError reports a call that got no definite answer. A write that
// ended this way may have taken effect.
type UnavailableError struct {
	Op         string
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable in %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
