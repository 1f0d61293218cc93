package document

import "fmt"

// UnknownOutcomeError reports a write that may have taken effect or may still do
// so.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is not known: %v", e.Err)
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
