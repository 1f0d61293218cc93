package standin

import "fmt"

// StatusError reports an unexpected HTTP status of the weight store.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %d", e.Path, e.Status) }
