package replica

import "github.com/laureltally/laureltally/memory"

// place is the machine's hold on a place at the weight store.
type place struct {
	id   uint64
	key  memory.Key
	open bool
	// order is the id of the load that uses the place, or empty.
	order string
}
