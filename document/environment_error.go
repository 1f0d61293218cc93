package document

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// EnvironmentError reports a document that names another environment than the
// one that it is meant for.
type EnvironmentError struct{ Want, Got ident.Environment }

// Error implements error.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("document is of environment %q, not %q", e.Got, e.Want)
}
