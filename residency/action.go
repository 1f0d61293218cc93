package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Action is an instruction to the driver: a *Grant, *Refuse, *Submit or
// *PermitRequest.
type Action interface{ action() }

// Grant admits a request: it now holds a reservation at the engine.
type Grant struct {
	ID     RequestID
	Waited time.Duration
	// VM is the id of the engine's VM in the VM list, or empty while it is unknown.
	VM ident.VM
	// Started is the start time of the engine in Unix milliseconds.
	Started int64
}

// Refuse rejects a request, which has not run.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration
	Reason     Reason
}

// Submit sends an order to the engine. The order is valid only if the engine has
// accepted exactly ExpectedAccepted orders so far; the driver reports the engine's
// response with OrderAnswered.
type Submit struct {
	Kind             engine.OrderKind
	Model            ident.Model
	Adapter          ident.Adapter
	ExpectedAccepted uint64
	// Purpose is what the order is for, for logs.
	Purpose string
}

// PermitRequest asks for a permit to load from the weight store. The driver reports
// the decision with PermitDecided. An empty Model leaves the choice of the model to
// the router that issues the permit.
type PermitRequest struct {
	// ID matches decisions to requests; a decision on any but the newest request is
	// ignored.
	ID       uint64
	Model    ident.Model
	Priority ident.Priority
	// Remaining is the time within which the load is useful, or zero for no limit.
	Remaining time.Duration
}

func (*Grant) action()         {}
func (*Refuse) action()        {}
func (*Submit) action()        {}
func (*PermitRequest) action() {}
