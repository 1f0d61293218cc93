package harness

import "fmt"

// ReadyError reports a router that was not ready within readyTimeout. URL is its base
// URL for operators.
type ReadyError struct{ URL string }

// Error implements error.
func (e *ReadyError) Error() string { return fmt.Sprintf("%s was not ready in time", e.URL) }
