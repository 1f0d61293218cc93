package retry

import (
	"time"

	"github.com/laureltally/laureltally/wire"
)

// Failure describes an attempt that gave no answer.
type Failure struct {
	// Run tells whether the attempt is known not to have run.
	Run  wire.RunState
	Code wire.Code
	// Idempotent requests may be repeated whatever Run says.
	Idempotent bool
	// Attempts is how many attempts have been made, this one included.
	Attempts int
	// Deadline is when the answer is due.
	Deadline time.Time
	// MinDuration is the least time that another attempt would take.
	MinDuration time.Duration
	// ResponseStarted is set when part of the answer has reached the caller.
	ResponseStarted bool
}
