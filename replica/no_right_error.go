package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoSlotError reports that the VM has no right to load the model, or does not
// know yet that it has. The request has not run.
type NoSlotError struct {
	Model      ident.Model
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoSlotError) Error() string { return fmt.Sprintf("no right to load model %s", e.Model) }
