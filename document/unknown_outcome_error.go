package document

import "fmt"

// UnknownOutcomeError reports a write that may have taken effect, or may still take
// effect later.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
