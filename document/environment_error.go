package document

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// EnvironmentError reports a document whose text names a different environment
// than the one it is to be stored for.
type EnvironmentError struct{ Want, Got ident.Environment }

// Error implements error.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("document is for environment %q, want %q", e.Got, e.Want)
}
