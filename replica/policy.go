package replica

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Policy decides how long an idle model stays loaded and in which order idle
// models are evicted. It is called by one goroutine at a time and must not
// block.
type Policy interface {
	// Observe records a request for m.
	Observe(m ident.Model, now time.Time)
	// KeepUntil returns the time at which m, idle since lastUsed, is to be
	// unloaded.
	KeepUntil(m ident.Model, lastUsed time.Time) time.Time
	// EvictOrder sorts the idle models so that the first is evicted first.
	EvictOrder(idle []ident.Model, now time.Time) []ident.Model
}
