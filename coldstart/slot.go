package coldstart

import "github.com/laureltally/laureltally/ident"

// Slot is the permission of a VM to hold one replica of a model.
type Slot struct {
	VM    ident.VM
	Fence ident.Fence
}
