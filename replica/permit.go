package replica

import "github.com/laureltally/laureltally/memory"

// permit is the machine's load permit or its request for one.
type permit struct {
	id      uint64
	key     memory.Key
	granted bool
	// orderID is the id of the load that uses the permit, or empty.
	orderID string
}
