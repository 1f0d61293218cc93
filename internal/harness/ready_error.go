package harness

import "fmt"

// ReadyError reports a part that was not ready in time.
type ReadyError struct{ Part string }

// Error implements error.
func (e *ReadyError) Error() string { return fmt.Sprintf("%s was not ready in time", e.Part) }
