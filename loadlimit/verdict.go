package loadlimit

// Verdict tells what became of a request.
type Verdict int

// The verdicts.
const (
	// Granted gives the place. The load may start.
	Granted Verdict = iota
	// TooLate tells that the deadline passed while the request waited.
	TooLate
	// Expired tells that a holder was not heard of for too long. Its place is
	// given to others.
	Expired
)
