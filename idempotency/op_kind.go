package idempotency

// opKind is what an op wants of the bucket.
type opKind int

// The kinds of ops.
const (
	// opClaim wants the key for a new attempt.
	opClaim opKind = iota
	// opMove wants the claim to pass from one attempt to another.
	opMove
	// opRelease wants the claim freed for the next request.
	opRelease
	// opLook wants to know who holds the key. It is settled as done if nobody
	// does, which a write that changes nothing confirms.
	opLook
)
