package replica

import (
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/memory"
)

// action is one effect that the driver carries out for the machine.
type action interface{ isAction() }

// submitOrder asks for the order to be sent to the engine. Its answer comes
// back through machine.answered.
type submitOrder struct{ order engine.Order }

// resolveWaiter ends the wait of a need. A nil err means that it holds a lease.
type resolveWaiter struct {
	id  uint64
	err error
}

// writeGrant asks for a conditional update of the VM's slot. Its end comes back
// through machine.wrote.
type writeGrant struct {
	model   ident.Model
	fence   ident.Fence
	release bool
}

// openGate asks for a place at the weight store, answered by
// machine.gateOpened.
type openGate struct {
	id       uint64
	key      memory.Key
	priority ident.Priority
}

// closeGate gives a place, or the wait for one, back.
type closeGate struct{ id uint64 }

func (submitOrder) isAction()   {}
func (resolveWaiter) isAction() {}
func (writeGrant) isAction()    {}
func (openGate) isAction()      {}
func (closeGate) isAction()     {}
