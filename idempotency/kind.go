package idempotency

// Kind tells what the caller of Keeper.Begin does next.
type Kind int

// The kinds of outcomes.
const (
	// Dispatch: the caller dispatches the attempt to the target, once.
	Dispatch Kind = iota + 1
	// Join: the caller attaches to the attempt's answer from offset zero.
	Join
	// Unknown: the attempt may have run, and its agent cannot tell any more.
	Unknown
)
