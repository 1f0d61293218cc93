package replica

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/inflight"
	"github.com/laureltally/laureltally/memory"
)

// simOrder is an order on its way to an engine.
type simOrder struct {
	order engine.Order
	sent  time.Time
}

// simVM is a VM with an engine and the present incarnation of its agent.
type simVM struct {
	id      ident.VM
	engine  *simEngine
	machine *machine
	transit []simOrder
	// awaiting is the order whose answer the agent waits for, and answer what
	// the engine said to it, zero as long as it has not arrived.
	awaiting string
	answer   inflight.Response
	needs    map[uint64]memory.Key
	// gates holds the places at the weight store that are asked for or taken.
	gates  []uint64
	leases []memory.Key
}
