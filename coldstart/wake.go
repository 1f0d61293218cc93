package coldstart

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// wake is a load that this router asked for or saw under way, or one that
// failed.
type wake struct {
	vm ident.VM
	// tier is where the weights were when the load began.
	tier  engine.Tier
	began time.Time
	// due is when the load counts as slow.
	due time.Time
	// failed tells that the load ended without a replica.
	failed bool
}
