package coldstart

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NoReachableVMError reports that no VM that can be reached holds a slot of the model.
// The request has not run.
type NoReachableVMError struct {
	Model ident.Model
	// Slots is the number of slots, all out of reach.
	Slots int
}

// Error implements error.
func (e *NoReachableVMError) Error() string {
	return fmt.Sprintf("coldstart: none of the %d slots of model %s can be reached", e.Slots, e.Model)
}
