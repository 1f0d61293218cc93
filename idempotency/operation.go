package idempotency

import "github.com/laureltally/laureltally/ident"

// operation is a router's request about one key. Its id is unique within its
// machine.
type operation struct {
	id          uint64
	kind        operationKind
	key         digest
	fingerprint digest
	// from is the attempt from which a move or release takes the key, and which
	// a lookup ignores. It is known not to have run.
	from ident.Attempt
	// attempt and target are recorded by a claim or move.
	attempt ident.Attempt
	target  Target
}
