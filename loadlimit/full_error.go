package loadlimit

import "fmt"

// FullError reports that the queue is full. The requester proceeds as if the
// limiter did not respond.
type FullError struct {
	Queued int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("load queue is full with %d requests", e.Queued)
}
