package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// DeadlineError reports that the deadline passed before the model and adapter
// were loaded. The request was not run.
type DeadlineError struct {
	Model      ident.Model
	Adapter    ident.Adapter
	RetryAfter time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("deadline passed before model %s adapter %q was loaded", e.Model, e.Adapter)
}
