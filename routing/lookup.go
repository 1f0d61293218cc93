package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Lookup is the argument of Table.Choose.
type Lookup struct {
	Request
	Target Target
	// Adapter is the adapter that the request names, or empty.
	Adapter ident.Adapter
	// Prefix is the hash of the prompt prefix, as in cache events, or zero.
	Prefix uint64
	// Health returns the state of a VM at now, and may be nil.
	Health func(now time.Time, vm ident.VM) Health
}
