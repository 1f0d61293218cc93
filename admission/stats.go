package admission

import "time"

// Stats is a snapshot of a Queue.
type Stats struct {
	Running int
	Waiting int
	// Limit is the adaptive concurrency limit.
	Limit int
	// Cost is the average run time of a request.
	Cost time.Duration
}
