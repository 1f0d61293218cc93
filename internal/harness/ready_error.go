package harness

import "fmt"

// ReadyError reports a router that was not ready within the start timeout.
type ReadyError struct{ Part string }

// Error implements error.
func (e *ReadyError) Error() string { return fmt.Sprintf("%s was not ready in time", e.Part) }
