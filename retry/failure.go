package retry

import (
	"time"

	"github.com/laureltally/laureltally/wire"
)

// Failure describes an attempt that got no complete response.
type Failure struct {
	// Run is whether the attempt is known not to have run.
	Run  wire.RunState
	Code wire.Code
	// Idempotent requests may be retried regardless of Run.
	Idempotent bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// Deadline is when the response is due.
	Deadline time.Time
	// MinDuration is the least time that another attempt would take.
	MinDuration time.Duration
	// ResponseStarted is set when part of the response has reached the caller.
	ResponseStarted bool
}
