package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// inFlightOrder is an order that was submitted and whose completion has not been
// observed.
type inFlightOrder struct {
	Submit
	// started identifies the start of the engine for which it was submitted.
	started     int64
	submittedAt time.Time
	// answeredAt is when the engine accepted the order, or zero before that.
	answeredAt time.Time
	// expectedDuration is the estimated duration of the order.
	expectedDuration time.Duration
}

// loadsModel reports whether the order loads a model.
func (o *inFlightOrder) loadsModel() bool { return o.Kind == engine.OrderLoad }

// remaining estimates the time until the order completes.
func (o *inFlightOrder) remaining(now time.Time) time.Duration {
	return max(0, o.submittedAt.Add(o.expectedDuration).Sub(now))
}
