package retry

import "time"

// Decision tells what to do after a Failure.
type Decision struct {
	// Retry is set when another attempt is to be made at At.
	Retry bool
	At    time.Time
	// Remaining is the time from At to the deadline.
	Remaining time.Duration
	// Reason tells why there is no retry.
	Reason Reason
}
