package replica

import (
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
)

// action is one effect that the driver carries out for the machine.
type action interface{ isAction() }

// submitOrder submits the order to the engine. The response is passed to
// machine.handleResponse.
type submitOrder struct{ order engine.Order }

// resolveWaiter ends the wait for a model. A nil err means that the waiter
// holds a lease.
type resolveWaiter struct {
	id  uint64
	err error
}

// slotWrite updates the VM's slot conditionally. Its end is reported to
// machine.slotWriteDone.
type slotWrite struct {
	model   ident.Model
	fence   ident.Fence
	release bool
}

// requestPermit requests a load permit for the weight store.
// machine.permitGranted handles the result.
type requestPermit struct {
	id       uint64
	key      memory.Key
	priority ident.Priority
}

// releasePermit returns a load permit or withdraws the request for one.
type releasePermit struct{ id uint64 }

func (submitOrder) isAction()   {}
func (resolveWaiter) isAction() {}
func (slotWrite) isAction()     {}
func (requestPermit) isAction() {}
func (releasePermit) isAction() {}
