package allocation

import (
	"slices"

	"github.com/laureltally/laureltally/ident"
)

// Revoke sets vm's slot to revoking on behalf of the VM, if it is held with the
// given fencing token, and reports whether it did.
func Revoke(a Allocation, vm ident.VM, fence ident.Fence) (Allocation, bool) {
	i := a.index(vm)
	if i < 0 || a.Slots[i].Fence != fence || a.Slots[i].State != Held {
		return a, false
	}
	a = a.clone()
	a.Slots[i].State = Revoking
	a.Slots[i].Returned = true
	return a, true
}

// Release removes vm's slot, if it is revoking with the given fencing token,
// and reports whether it did. The engine of the VM must be confirmed to hold no
// replica and to run no order that could load one.
//
// A held slot is never removed: such a write could take effect late, after a
// new incarnation of the agent has read the slot as held and loaded the model.
// While the slot is revoking no incarnation loads, and a change back to held
// makes a late write fail on its version.
func Release(a Allocation, vm ident.VM, fence ident.Fence) (Allocation, bool) {
	i := a.index(vm)
	if i < 0 || a.Slots[i].Fence != fence || a.Slots[i].State != Revoking {
		return a, false
	}
	a = a.clone()
	a.Slots = slices.Delete(a.Slots, i, i+1)
	return a, true
}
