package attempt

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NameError reports an attempt whose name has not the form that ID gives it.
type NameError struct{ Name ident.Attempt }

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("malformed attempt name %q", e.Name) }
