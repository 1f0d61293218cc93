package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoSlotError reports that the VM has no usable slot for the model, or has not
// read its slot yet. The request was not run.
type NoSlotError struct {
	Model      ident.Model
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoSlotError) Error() string { return fmt.Sprintf("no slot for model %s", e.Model) }
