package harness

// Outcome is how one request ended.
type Outcome int

// The outcomes. A Lost request got neither a complete response nor a typed
// refusal, a Mismatched one the response to another request.
const (
	Answered Outcome = iota
	Refused
	Lost
	Mismatched
)
