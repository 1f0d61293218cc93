package loadlimit

// Verdict is the result of a request.
type Verdict int

// The verdicts.
const (
	// Granted issues a permit: the load may start.
	Granted Verdict = iota
	// TooLate means that the deadline passed while the request was queued.
	TooLate
	// Expired means that a permit had no heartbeat for too long. It is
	// withdrawn, and another request can be granted.
	Expired
)
