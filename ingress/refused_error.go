package ingress

import (
	"fmt"
	"time"
)

// RefusedError reports that a sidecar refused a reservation. The request has not run.
type RefusedError struct {
	RetryAfter time.Duration
	Reason     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %v", e.Reason, e.RetryAfter)
}
