package allocation

// SlotState is the state of a slot.
type SlotState string

// The states of a slot. A VM does not load a model while its slot is revoking.
const (
	Held     SlotState = "held"
	Revoking SlotState = "revoking"
)
