package standin

// batchWaiter is one request that waits for a place in a batch.
type batchWaiter struct {
	priority int
	seq      uint64
	ready    chan struct{}
	// index is the place in the queue, or negative once it was taken out.
	index int
}
