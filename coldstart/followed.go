package coldstart

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// followed is the loads of one model that have not ended.
type followed struct {
	wakes []wake
	// asked is when the model was last asked for.
	asked time.Time
}

// find returns the load on a VM.
func (f *followed) find(vm ident.VM) (wake, bool) {
	i := slices.IndexFunc(f.wakes, func(w wake) bool { return w.vm == vm })
	if i < 0 {
		return wake{}, false
	}
	return f.wakes[i], true
}

// drop forgets the load on a VM.
func (f *followed) drop(vm ident.VM) {
	f.wakes = slices.DeleteFunc(f.wakes, func(w wake) bool { return w.vm == vm })
}

// set adds a load or replaces the one on the same VM.
func (f *followed) set(w wake) {
	f.drop(w.vm)
	f.wakes = append(f.wakes, w)
}

// keep forgets the loads on VMs that hold none of the slots.
func (f *followed) keep(slots []Slot) {
	f.wakes = slices.DeleteFunc(f.wakes, func(w wake) bool {
		return !slices.ContainsFunc(slots, func(s Slot) bool { return s.VM == w.vm })
	})
}
