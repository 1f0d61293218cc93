package coldstart

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NoReachableVMError reports that no reachable VM has a slot of the model. The
// request has not run.
type NoReachableVMError struct {
	Model ident.Model
	// Slots is the number of slots, all on unreachable VMs.
	Slots int
}

// Error implements error.
func (e *NoReachableVMError) Error() string {
	return fmt.Sprintf("coldstart: none of the VMs with the %d slots of model %s is reachable", e.Slots, e.Model)
}
