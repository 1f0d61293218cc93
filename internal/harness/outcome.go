package harness

// Outcome is how one request ended.
type Outcome int

// The outcomes. Lost requests got neither a whole answer nor a typed refusal.
const (
	Answered Outcome = iota
	Refused
	Lost
	Mismatched
)
