package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Item is one request that waits for a place at an upstream.
type Item struct {
	ID          ident.Attempt
	Environment ident.Environment
	// Region is where the request entered the system.
	Region   ident.Region
	Priority ident.Priority
	// Deadline is when the answer is due.
	Deadline time.Time
	// TimeToResponse is the expected time from the start of the request to the answer
	// that is due by Deadline: the first token of a stream, or the whole answer.
	// Zero takes the average place time of the requests that have finished.
	TimeToResponse time.Duration
	// RunTime is the expected time for which the request takes a place. Zero takes
	// Cost.
	RunTime time.Duration
}
