package allocation

// SlotState is the stage of a slot.
type SlotState string

// The states of a slot. The holder of a revoking slot loads nothing under it.
const (
	Held     SlotState = "held"
	Revoking SlotState = "revoking"
)
