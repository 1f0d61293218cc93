package harness

import "fmt"

// StatusError reports an unexpected HTTP status of a stand-in or a router.
type StatusError struct {
	URL    string
	Status string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("%s: status %s", e.URL, e.Status) }
