package outlier

// Status is what may be sent to a VM.
type Status struct {
	Phase Phase
	// Blocked is set when the VM should get no requests now.
	Blocked bool
	// LoadShare is the fraction of its usual load that the VM should get, from 0
	// to 1.
	LoadShare float64
}
