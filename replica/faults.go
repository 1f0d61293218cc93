package replica

// faults are deliberate faults of the machine. Tests set them to show that the
// checked invariants depend on each protection. The zero value has no fault.
type faults struct {
	// releaseBeforeUnload releases a slot without waiting for the engine to
	// unload the model.
	releaseBeforeUnload bool
	// ignoreInFlight releases a slot while an order in flight may still load
	// the model.
	ignoreInFlight bool
	// staleListings accepts allocations that may be older than the incarnation.
	staleListings bool
	// reuseFence accepts allocations in any order and loads with a fencing
	// token that the incarnation has relinquished.
	reuseFence bool
	// loadWithoutMemory submits a load without reserving its memory.
	loadWithoutMemory bool
	// ignoreLeases evicts and unloads models on which requests are running.
	ignoreLeases bool
}
