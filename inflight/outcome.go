package inflight

import "github.com/laureltally/laureltally/engine"

// Outcome is the end of an order. Done tells whether the engine's state shows
// what the order asked for.
type Outcome struct {
	Order     engine.Order
	Succeeded bool
}
