package serving

// Load is the load that a VM reports, in requests.
type Load struct {
	Running, Waiting, Concurrency int
	// Slowness is how long work takes on the VM at this moment, as a multiple of the usual
	// time, or 0 if the VM does not state it.
	Slowness float64
}
