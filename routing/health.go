package routing

// Health is the result of outlier detection for a VM.
type Health struct {
	// Excluded VMs get no request, even if there are no others.
	Excluded bool
	// Ejected VMs get requests only if there are no others.
	Ejected bool
	// LoadShare is the fraction of its usual load that a recovering VM should
	// get.
	LoadShare float64
}
