package enginehttp

import "fmt"

// CallError reports a call without a definite answer. An order that ended this
// way may run.
type CallError struct {
	Path string
	// Status is zero if there was no answer.
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

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
