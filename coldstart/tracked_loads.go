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
func (f *trackedLoads) find(vm ident.VM) (trackedLoad, bool) {
	i := slices.IndexFunc(f.loads, func(load trackedLoad) bool { return load.vm == vm })
	if i < 0 {
		return trackedLoad{}, false
	}
	return f.loads[i], true
}

// remove deletes the load on a VM.
func (f *trackedLoads) remove(vm ident.VM) {
	f.loads = slices.DeleteFunc(f.loads, func(load trackedLoad) bool { return load.vm == vm })
}

// put adds a load or replaces the one on the same VM.
func (f *trackedLoads) put(load trackedLoad) {
	f.remove(load.vm)
	f.loads = append(f.loads, load)
}

// retain deletes the loads on VMs without one of the slots.
func (f *trackedLoads) retain(slots []Slot) {
	f.loads = slices.DeleteFunc(f.loads, func(load trackedLoad) bool {
		return !slices.ContainsFunc(slots, func(s Slot) bool { return s.VM == load.vm })
	})
}
