package replica

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/grant"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
)

// modelState is what the machine knows of one model.
type modelState struct {
	name ident.Model

	// slot is the VM's slot as of version; its fence is zero if there is none.
	slot    grant.Slot
	version platform.Version
	// gaveUp is the highest fence that this incarnation has begun to give up.
	// It never uses that fence or a lower one again.
	gaveUp ident.Fence
	// attempted is the slot as it was when the last write of it began.
	attempted grant.Slot
	writing   bool
	writeAt   time.Time

	// phase is empty while the engine does not have the model.
	phase    engine.Phase
	fence    ident.Fence
	tier     engine.Tier
	adapters map[ident.Adapter]*adapterState

	running  int
	lastUsed time.Time
}

// right returns the fence under which the model may be loaded, or zero.
func (s *modelState) right() ident.Fence {
	if s.slot.State != grant.Held || s.slot.Fence <= s.gaveUp {
		return 0
	}
	return s.slot.Fence
}

// giveUp makes the current slot unusable for this incarnation.
func (s *modelState) giveUp() { s.gaveUp = max(s.gaveUp, s.slot.Fence) }

// unloadFence returns the fence of an unload order. Without a right it is above
// every fence that was given up, so that an engine that checks fences refuses a
// load that arrives late; the next slot of the VM has at least that fence.
func (s *modelState) unloadFence() ident.Fence {
	if f := s.right(); f != 0 {
		return f
	}
	return max(s.gaveUp, s.fence) + 1
}

func (s *modelState) loaded() bool { return s.phase == engine.PhaseLoaded }
