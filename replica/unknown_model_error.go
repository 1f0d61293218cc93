package replica

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// UnknownModelError reports a model or adapter that the document in force does
// not have. The request has not run.
type UnknownModelError struct {
	Model   ident.Model
	Adapter ident.Adapter
}

// Error implements error.
func (e *UnknownModelError) Error() string {
	return fmt.Sprintf("unknown model %s adapter %q", e.Model, e.Adapter)
}
