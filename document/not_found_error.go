package document

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NotFoundError reports that an environment has no document of a stage.
type NotFoundError struct {
	Environment ident.Environment
	Stage       Stage
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("environment %q has no %s document", e.Environment, e.Stage)
}
