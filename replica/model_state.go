package replica

import (
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// modelState is the state of one model.
type modelState struct {
	name ident.Model

	// slot is the VM's slot as of slotVersion; its fencing token is zero if
	// there is none.
	slot        allocation.Slot
	slotVersion metastore.Version
	// relinquishedFence is the highest fencing token that this incarnation has
	// started to relinquish. It never uses that token or a lower one again.
	relinquishedFence ident.Fence
	// slotBeforeWrite is the slot at the start of its last write.
	slotBeforeWrite allocation.Slot
	writeInFlight   bool
	writeAt         time.Time

	// phase is empty while the engine does not have the model.
	phase       engine.Phase
	loadedFence ident.Fence
	tier        engine.Tier
	adapters    map[ident.Adapter]*adapterState

	// leases counts the leases on the model, and adapterLeases those on each
	// adapter. A lease remains when the engine restarts and the model is no
	// longer loaded.
	leases        int
	adapterLeases map[ident.Adapter]int
	lastUsed      time.Time
}

// usableFence returns the fencing token with which the model may be loaded, or
// zero.
func (s *modelState) usableFence() ident.Fence {
	if s.slot.State != allocation.Held || s.slot.Fence <= s.relinquishedFence {
		return 0
	}
	return s.slot.Fence
}

// relinquish makes the current slot unusable for this incarnation.
func (s *modelState) relinquish() { s.relinquishedFence = max(s.relinquishedFence, s.slot.Fence) }

// unloadFence returns the fencing token of an unload order. For a relinquished
// slot it is one above that slot's token, so that an engine that checks fencing
// tokens rejects a load that arrives late. It is never above the token of a
// slot that is still held, nor above that of a future slot, which is higher
// than all relinquished ones: otherwise the engine would reject every order
// with the token of that slot.
func (s *modelState) unloadFence() ident.Fence {
	switch {
	case s.slot.State == allocation.Held:
		return s.slot.Fence
	case s.relinquishedFence == 0:
		return s.loadedFence
	}
	return max(s.relinquishedFence+1, s.loadedFence)
}

func (s *modelState) loaded() bool { return s.phase == engine.PhaseLoaded }
