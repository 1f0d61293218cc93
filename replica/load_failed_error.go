package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// LoadFailedError reports that the engine rejected the load of the model or the
// adapter, or that the load failed. The request was not run.
type LoadFailedError struct {
	Model      ident.Model
	Adapter    ident.Adapter
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *LoadFailedError) Error() string {
	return fmt.Sprintf("load of model %s adapter %q failed: %v", e.Model, e.Adapter, e.Err)
}

// Unwrap returns the cause, which is nil if the engine returned none.
func (e *LoadFailedError) Unwrap() error { return e.Err }
