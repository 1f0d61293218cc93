package idempotency

import "github.com/laureltally/laureltally/ident"

// op is one wish of a router about one key. Its id is unique in its machine.
type op struct {
	id          uint64
	kind        opKind
	key         digest
	fingerprint digest
	// from is the attempt that a move or release takes the claim from. It was
	// refused as not run.
	from ident.Attempt
	// attempt and target are those that a claim or move writes.
	attempt ident.Attempt
	target  Target
}
