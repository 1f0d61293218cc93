package replica

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/memory"
)

// simOrder is an order in transit to an engine.
type simOrder struct {
	order engine.Order
	sent  time.Time
}

// simVM is a VM with an engine and the current incarnation of its agent.
type simVM struct {
	id      ident.VM
	engine  *simEngine
	machine *machine
	transit []simOrder
	// awaitedOrder is the order whose response the agent waits for, and
	// response the engine's response, zero until it has arrived.
	awaitedOrder string
	response     inflight.Response
	requirements map[uint64]memory.Key
	// permits holds the ids of the load permits that are requested or held.
	permits []uint64
	leases  []memory.Key
}
