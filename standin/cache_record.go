package standin

import (
	"time"

	"github.com/laureltally/laureltally/engine"
)

// cacheRecord is a cache event with the time from which it is visible.
type cacheRecord struct {
	event     engine.CacheEvent
	visibleAt time.Time
}
