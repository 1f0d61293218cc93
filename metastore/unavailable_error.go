package metastore

import (
	"fmt"
	"time"
)

// UnavailableError reports a call without a definite response. A write that
// failed this way may have taken effect.
type UnavailableError struct {
	Op string
	// RetryAfter is the pause that the platform asked for before a retry. Zero
	// means that it asked for none.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable in %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }
