package admission

// Rate bounds requests by a token bucket.
type Rate struct {
	// PerSecond is the refill in requests a second. Zero sets no bound.
	PerSecond float64
	// Burst is the size of the bucket in requests; less than one counts as one.
	Burst int
}
