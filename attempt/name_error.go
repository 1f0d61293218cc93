package attempt

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NameError reports an attempt name that Parse cannot read.
type NameError struct{ Name ident.Attempt }

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("malformed attempt name %q", e.Name) }
