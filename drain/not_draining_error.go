package drain

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NotDrainingError reports an attempt to end a drain of a VM that is not
// draining.
type NotDrainingError struct{ VM ident.VM }

// Error implements error.
func (e *NotDrainingError) Error() string { return fmt.Sprintf("VM %q is not draining", e.VM) }
