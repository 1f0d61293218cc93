package inflight

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// entry is the open order. Since is when its status became known.
type entry struct {
	order    engine.Order
	status   status
	since    time.Time
	instance string
}
