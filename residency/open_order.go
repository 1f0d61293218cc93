package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// openOrder is an order that was submitted and whose end has not been seen.
type openOrder struct {
	Submit
	at time.Time
	// answered is when the answer came, zero while it is awaited.
	answered time.Time
	// expected is how long it should take.
	expected time.Duration
}

// loads tells whether it brings a model.
func (o *openOrder) loads() bool { return o.Kind == engine.OrderLoad }

// left estimates the time until it has ended.
func (o *openOrder) left(now time.Time) time.Duration {
	return max(0, o.at.Add(o.expected).Sub(now))
}
