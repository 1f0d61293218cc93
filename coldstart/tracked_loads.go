package coldstart

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// trackedLoads holds the tracked loads of one model.
type trackedLoads struct {
	loads []trackedLoad
	// lastQuery is the time of the last query for the model.
	lastQuery time.Time
}

// find returns the load on a VM.
func (t *trackedLoads) find(vm ident.VM) (trackedLoad, bool) {
	i := slices.IndexFunc(t.loads, func(load trackedLoad) bool { return load.vm == vm })
	if i < 0 {
		return trackedLoad{}, false
	}
	return t.loads[i], true
}

// remove deletes the load on a VM.
func (t *trackedLoads) remove(vm ident.VM) {
	t.loads = slices.DeleteFunc(t.loads, func(load trackedLoad) bool { return load.vm == vm })
}

// put adds a load or replaces the one on the same VM.
func (t *trackedLoads) put(load trackedLoad) {
	t.remove(load.vm)
	t.loads = append(t.loads, load)
}

// retain deletes the loads on VMs without one of the slots.
func (t *trackedLoads) retain(slots []Slot) {
	t.loads = slices.DeleteFunc(t.loads, func(load trackedLoad) bool {
		return !slices.ContainsFunc(slots, func(s Slot) bool { return s.VM == load.vm })
	})
}
