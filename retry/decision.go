package retry

import "time"

// Decision is the result of Policy.Decide.
type Decision struct {
	// Retry is set when another attempt should start at At.
	Retry bool
	At    time.Time
	// Remaining is the time from At to the deadline.
	Remaining time.Duration
	// Reason is why there is no retry, or empty.
	Reason Reason
}
