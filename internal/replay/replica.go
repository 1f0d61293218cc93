package replay

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// replica is one model on one VM.
type replica struct {
	model   int
	phase   engine.Phase
	running int
	queue   []*request
	// idleSince is the start of the idle time, load time included, that is not
	// yet added to the result. lastUsed is when the last request ended.
	idleSince, lastUsed time.Time
	adapters            map[ident.Adapter]bool
	reserved            bool
	prewarmed           bool
}

func (r *replica) idle() bool {
	return r.phase == engine.PhaseLoaded && r.running == 0 && len(r.queue) == 0
}
