package loadlimit

import "fmt"

// FullError reports that too many requests wait. The asker treats it like a
// gate that does not answer.
type FullError struct {
	Waiting int
}

// Error implements error.
func (e *FullError) Error() string { return fmt.Sprintf("gate: %d requests wait already", e.Waiting) }
