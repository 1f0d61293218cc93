package membership

// Link is the state of the own connection to a VM.
type Link int

// The states of a link.
const (
	// LinkNone: no connection was tried, for instance because another router
	// subscribes to this agent.
	LinkNone Link = iota
	LinkUp
	LinkDown
)
