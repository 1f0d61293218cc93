package enginehttp

import "fmt"

// CallError reports a call without a definite result. An order that failed with it
// may still run.
type CallError struct {
	Path string
	// Status is the HTTP status, or zero if there was no response.
	Status int
	Err    error
}

// Error implements error.
func (e *CallError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("engine call %s: status %d", e.Path, e.Status)
	}
	return fmt.Sprintf("engine call %s: %v", e.Path, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }
