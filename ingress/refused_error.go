package ingress

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// RefusedError reports that a sidecar refused a reservation. The request has not run.
type RefusedError struct {
	RetryAfter time.Duration
	Reason     string
	// Gone is set if the engine takes no more requests.
	Gone bool
	// Load is the load of the engine at the time of the reply, or nil.
	Load *wire.EngineLoad
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %v", e.Reason, e.RetryAfter)
}
