package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Choice is the routing decision for one request.
type Choice struct {
	VM    ident.VM
	Fence ident.Fence
	// Action is what happens to the request at the VM.
	Action Action
	// FirstToken is the estimated time to the first token, the sum of network, load
	// and queue time, at the median of load times.
	FirstToken time.Duration
	// FirstTokenLate is the same estimate at Config.Quantile of load times.
	FirstTokenLate time.Duration
	// Recheck is when the load should have ended. If it has not, another call of
	// Choose may return another VM. Zero if the model is loaded.
	Recheck time.Time
}

// MeetsDeadline reports whether the estimated first token arrives by the
// deadline. A zero deadline is always met.
func (c Choice) MeetsDeadline(now, deadline time.Time) bool {
	return deadline.IsZero() || !now.Add(c.FirstToken).After(deadline)
}
