package idempotency

import (
	"fmt"
	"time"
)

// PlatformError reports a claim that could not be confirmed. The request was
// not run and will not be: the record may still be stored, but its attempt is
// never dispatched, and a router that finds the record has the agent reject the
// attempt before it moves the key.
type PlatformError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("confirm claim of idempotency key: %v", e.Err)
}

// Unwrap returns the underlying error.
func (e *PlatformError) Unwrap() error { return e.Err }
