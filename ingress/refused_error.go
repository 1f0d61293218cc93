package ingress

import (
	"fmt"
	"time"
)

// RefusedError reports that a sidecar gives no place. Nothing has run.
type RefusedError struct {
	RetryAfter time.Duration
	Reason     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, come back in %v", e.Reason, e.RetryAfter)
}
