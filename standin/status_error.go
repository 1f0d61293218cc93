package standin

import "fmt"

// StatusError reports a call that another stand-in refused.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Path, e.Status) }
