package allocation

import "github.com/laureltally/laureltally/ident"

// Slot allows one VM instance to hold one replica of a model.
type Slot struct {
	VM    ident.VM    `json:"vm"`
	Fence ident.Fence `json:"fence"`
	State SlotState   `json:"state"`
	// Returned marks a revoking slot that its VM relinquishes on its own
	// initiative, so that no planner sets it back to held.
	Returned bool `json:"returned,omitempty"`
}
