package admission

// Action is an instruction from a Queue to its caller: an Admit or a Refuse.
type Action interface{ action() }
