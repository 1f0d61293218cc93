package idempotency

import (
	"fmt"
	"time"
)

// PlatformError reports a claim that could not be confirmed. The request was not
// run and will not be: the claim may still land, but nobody dispatches its
// attempt, and whoever finds it has the agent refuse it first.
type PlatformError struct {
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *PlatformError) Error() string { return fmt.Sprintf("claim not confirmed: %v", e.Err) }

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Err }
