package replica

import (
	"cmp"
	"time"
)

// waiter is a need that is not loaded yet. Ids grow with arrival.
type waiter struct {
	id   uint64
	need Requirements
	// blocked is when the need first found no memory to load into.
	blocked time.Time
}

// compareWaiters puts the most urgent first, then the earliest.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.need.Priority, b.need.Priority), cmp.Compare(a.id, b.id))
}
