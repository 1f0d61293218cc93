package objecthttp

import "fmt"

// StatusError reports an answer whose status carries no Problem.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }
