package idempotency

// operationKind is the kind of an operation.
type operationKind int

// The kinds of operations.
const (
	// opClaim claims the key for a new attempt.
	opClaim operationKind = iota
	// opMove moves the key from one attempt to another.
	opMove
	// opRelease releases the key for the next request.
	opRelease
	// opLookup looks up which attempt holds the key. It succeeds without a
	// record if none does, which a write that changes nothing confirms.
	opLookup
)
