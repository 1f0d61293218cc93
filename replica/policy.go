package replica

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Policy decides how long an idle model stays and which idle models go first.
// It is called by one goroutine at a time and must not block.
type Policy interface {
	// Observe tells of a request for m.
	Observe(m ident.Model, now time.Time)
	// KeepUntil returns when m, idle since lastUsed, is to be unloaded.
	KeepUntil(m ident.Model, lastUsed time.Time) time.Time
	// EvictOrder sorts the idle models, the first to be evicted first.
	EvictOrder(idle []ident.Model, now time.Time) []ident.Model
}
