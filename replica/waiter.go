package replica

import (
	"cmp"
	"time"
)

// waiter is a request whose required model or adapter is not loaded yet. Ids
// grow in the order of arrival.
type waiter struct {
	id       uint64
	required Requirements
	// blockedSince is when there was first not enough memory for the load.
	blockedSince time.Time
}

// compareWaiters orders the most urgent first, then the earliest.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.required.Priority, b.required.Priority), cmp.Compare(a.id, b.id))
}
