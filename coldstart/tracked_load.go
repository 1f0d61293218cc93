package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// trackedLoad is a load that this router requested or saw in a report, or one
// that failed.
type trackedLoad struct {
	vm ident.VM
	// tier is where the weights were cached when the load started.
	tier      engine.Tier
	startedAt time.Time
	// due is when the load counts as slow, or when a failed one is forgotten.
	due time.Time
	// failed is set if the load ended without a replica.
	failed bool
}
