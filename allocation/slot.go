package allocation

import "github.com/laureltally/laureltally/ident"

// Slot is the right of one VM instance to hold one replica of a model.
type Slot struct {
	VM    ident.VM    `json:"vm"`
	Fence ident.Fence `json:"fence"`
	State SlotState   `json:"state"`
	// Returned marks a revoking slot that its holder gives up of its own accord,
	// so that no planner turns it back to held.
	Returned bool `json:"returned,omitempty"`
}
