package membership

// Link is the state of this process's connection to a VM.
type Link int

// The states of a link.
const (
	// LinkNone means that no connection was tried, for instance because another
	// router subscribes to this agent.
	LinkNone Link = iota
	LinkUp
	LinkDown
)
