package outlier

// Status is what a router may send to a VM.
type Status struct {
	Phase Phase
	// Blocked is set when the VM should get no request now.
	Blocked bool
	// LoadShare is the part of its usual load that it should get, from 0 to 1.
	LoadShare float64
}
