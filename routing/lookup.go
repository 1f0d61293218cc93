package routing

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Lookup is a request to a Table.
type Lookup struct {
	Request
	Target Target
	// Adapter is the adapter that the request names, or empty.
	Adapter ident.Adapter
	// Prefix is the hash of the prompt prefix as cache events give it, or zero.
	Prefix uint64
	// Health tells the state of a VM at Now, and may be nil.
	Health func(now time.Time, vm ident.VM) Health
}
