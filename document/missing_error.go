package document

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// MissingError reports that an environment has no document in a slot.
type MissingError struct {
	Environment ident.Environment
	Slot        Slot
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("environment %q has no %s document", e.Environment, e.Slot)
}
