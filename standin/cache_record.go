package standin

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// cacheRecord is an event with the time at which it is first seen.
type cacheRecord struct {
	event engine.CacheEvent
	at    time.Time
}
