package inflight

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// inFlightOrder is the order in flight. statusSince is when its status became
// known, and instance the engine instance in the last state before the order.
type inFlightOrder struct {
	order       engine.Order
	status      status
	statusSince time.Time
	instance    string
}
