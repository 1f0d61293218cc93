package replica

import (
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// modelState is what the machine knows of one model.
type modelState struct {
	name ident.Model

	// slot is the VM's slot as of version; its fence is zero if there is none.
	slot    allocation.Slot
	version metastore.Version
	// gaveUp is the highest fence that this incarnation has begun to give up.
	// It never uses that fence or a lower one again.
	gaveUp ident.Fence
	// attempted is the slot as it was when the last write of it began.
	attempted allocation.Slot
	writing   bool
	writeAt   time.Time

	// phase is empty while the engine does not have the model.
	phase    engine.Phase
	fence    ident.Fence
	tier     engine.Tier
	adapters map[ident.Adapter]*adapterState

	// running counts the leases, and adapterRuns those on each adapter. A lease
	// outlives what it is on when the engine restarts.
	running     int
	adapterRuns map[ident.Adapter]int
	lastUsed    time.Time
}

// right returns the fence under which the model may be loaded, or zero.
func (s *modelState) right() ident.Fence {
	if s.slot.State != allocation.Held || s.slot.Fence <= s.gaveUp {
		return 0
	}
	return s.slot.Fence
}

// giveUp makes the current slot unusable for this incarnation.
func (s *modelState) giveUp() { s.gaveUp = max(s.gaveUp, s.slot.Fence) }

// unloadFence returns the fence of an unload order. For a slot that is given up
// it is one above, so that an engine that checks fences refuses a load that
// arrives late. It is never above the fence of a slot that is still held, nor of
// one to come, which is higher than all that were given up: the engine would
// refuse every order under it.
func (s *modelState) unloadFence() ident.Fence {
	switch {
	case s.slot.State == allocation.Held:
		return s.slot.Fence
	case s.gaveUp == 0:
		return s.fence
	}
	return max(s.gaveUp+1, s.fence)
}

func (s *modelState) loaded() bool { return s.phase == engine.PhaseLoaded }
