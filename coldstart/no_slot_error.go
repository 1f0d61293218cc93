package coldstart

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NoSlotError reports that no VM that can be reached holds a slot of the model.
// The request has not run.
type NoSlotError struct {
	Model ident.Model
	// Slots is the number of slots, all out of reach.
	Slots int
}

// Error implements error.
func (e *NoSlotError) Error() string {
	return fmt.Sprintf("coldstart: none of the %d slots of model %s can be reached", e.Slots, e.Model)
}
