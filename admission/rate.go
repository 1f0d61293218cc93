package admission

// Rate is a rate limit, enforced by a token bucket.
type Rate struct {
	// PerSecond is the refill rate in requests per second. Zero means no limit.
	PerSecond float64
	// Burst is the bucket size in requests; values below one count as one.
	Burst int
}
