package inflight

import "github.com/laureltally/laureltally/engine"

// Outcome is the result of an order. Succeeded reports whether the engine's
// state shows the requested effect.
type Outcome struct {
	Order     engine.Order
	Succeeded bool
}
