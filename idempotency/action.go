package idempotency

import "github.com/laureltally/laureltally/metastore"

// action is what a machine's driver does next; none if all are unset.
type action struct {
	read  bool
	write bool
	// value and expect are the arguments of the write.
	value  []byte
	expect metastore.Version
}
