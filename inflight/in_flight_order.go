package inflight

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// inFlightOrder is the order in flight. statusSince is when its status became
// known.
type inFlightOrder struct {
	order       engine.Order
	status      status
	statusSince time.Time
	instance    string
}
