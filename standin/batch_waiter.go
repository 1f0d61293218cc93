package standin

// batchWaiter is one request that waits to join a batch.
type batchWaiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	// index is the index in the heap, or negative once it was removed.
	index int
}
