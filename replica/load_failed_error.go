package replica

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// LoadFailedError reports that the engine refused or failed to load the model
// or the adapter. The request has not run.
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

// Unwrap returns the cause, which is nil when the engine gave none.
func (e *LoadFailedError) Unwrap() error { return e.Err }
