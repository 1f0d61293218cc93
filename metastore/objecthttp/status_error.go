package objecthttp

import "fmt"

// StatusError reports a response of a failed call whose body is not a Problem.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
