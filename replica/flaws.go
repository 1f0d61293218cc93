package replica

// flaws are deliberate faults of the machine. Tests set them to show that the
// checked invariants depend on each protection; the zero value has none.
type flaws struct {
	// ackBeforeUnload frees a slot without waiting for the engine.
	ackBeforeUnload bool
	// ignorePending frees a slot while an order may still load the model.
	ignorePending bool
	// staleRights takes grants that may be older than the incarnation.
	staleRights bool
	// reuseFence takes grants in any order and loads under a fence that the
	// incarnation has given up.
	reuseFence bool
	// loadFirst submits a load without reserving its memory.
	loadFirst bool
	// cutRequests evicts and unloads models whose requests are running.
	cutRequests bool
}
