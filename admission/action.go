package admission

// Action is what the driver of a Queue has to do: an Admit or a Refuse.
type Action interface{ action() }
