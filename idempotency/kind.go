package idempotency

// Kind is the next step of the caller of Manager.Claim.
type Kind int

// The kinds of outcomes.
const (
	// Dispatch: the caller dispatches the attempt to the target, once.
	Dispatch Kind = iota + 1
	// Join: the caller attaches to the attempt's response from offset zero.
	Join
	// Unknown: the attempt may have run, and its agent can no longer report it.
	Unknown
)
