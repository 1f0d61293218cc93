package idempotency

import "github.com/laureltally/laureltally/metastore"

// action is the next call that a machine's driver makes; none if all fields are
// unset.
type action struct {
	read  bool
	write bool
	// value and expect are the arguments of the write.
	value  []byte
	expect metastore.Version
}
