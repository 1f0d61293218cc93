package replica

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// UnknownModelError reports a model or adapter that is not in the configuration
// document in force. The request was not run.
type UnknownModelError struct {
	Model   ident.Model
	Adapter ident.Adapter
}

// Error implements error.
func (e *UnknownModelError) Error() string {
	return fmt.Sprintf("unknown model %s adapter %q", e.Model, e.Adapter)
}
