package drain

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NotDrainingError reports an end of a drain that there is not.
type NotDrainingError struct{ VM ident.VM }

// Error implements error.
func (e *NotDrainingError) Error() string { return fmt.Sprintf("VM %q is not draining", e.VM) }
