package routing

// Health is what outlier detection says of a VM.
type Health struct {
	// Ejected VMs get requests only if there is no other.
	Ejected bool
	// LoadShare is the part of its usual load that a recovering VM should get.
	LoadShare float64
}
