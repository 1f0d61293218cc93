package admission

import "time"

// Stats is a snapshot of a Queue.
type Stats struct {
	Running int
	Waiting int
	// Limit is the adaptive concurrency limit.
	Limit int
	// RunTime is the average run time of a request, or zero until one has
	// finished.
	RunTime time.Duration
}
