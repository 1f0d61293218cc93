package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoRightError reports that the VM has no right to load the model, or does not
// know yet that it has. The request has not run.
type NoRightError struct {
	Model      ident.Model
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRightError) Error() string { return fmt.Sprintf("no right to load model %s", e.Model) }
