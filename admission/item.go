package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Item is a request that waits for a reservation at an upstream.
type Item struct {
	ID          ident.Attempt
	Environment ident.Environment
	// Region is where the request entered the system.
	Region   ident.Region
	Priority ident.Priority
	// Deadline is when the response is due.
	Deadline time.Time
	// TimeToResponse is the expected time from the start of the request to the
	// response that is due by Deadline: the first token of a stream, or the
	// complete response. Zero means the average run time of finished requests.
	TimeToResponse time.Duration
	// RunTime is the expected time for which the request holds its reservation.
	// Zero means TimeToResponse.
	RunTime time.Duration
}
