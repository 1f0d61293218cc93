package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Choice is where a request goes.
type Choice struct {
	VM    ident.VM
	Fence ident.Fence
	// Action tells what the request meets at the VM.
	Action Action
	// FirstToken estimates the time to the first token: links, load and queue.
	FirstToken time.Duration
	// FirstTokenLate is the same at the configured quantile of load times.
	FirstTokenLate time.Duration
	// Recheck is when the load should have ended. If it has not, asking again
	// may name another slot. Zero if the model is loaded.
	Recheck time.Time
}

// MeetsDeadline tells whether the estimate keeps the deadline, given the present time.
// A zero deadline is always kept.
func (c Choice) MeetsDeadline(now, deadline time.Time) bool {
	return deadline.IsZero() || !now.Add(c.FirstToken).After(deadline)
}
