package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Action is something for the driver to do: *Grant, *Refuse, *Submit or *Fetch.
type Action interface{ action() }

// Grant gives a request its place.
type Grant struct {
	ID     RequestID
	Waited time.Duration
	// VM is the id of the engine's server, or empty while it is not known.
	VM ident.VM
}

// Refuse tells that a request gets no place. It has not run.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration
	Reason     Reason
}

// Submit sends an order to the engine. It holds only if the engine has accepted
// After orders; the driver reports the answer with Submitted.
type Submit struct {
	Kind             engine.OrderKind
	Model            ident.Model
	Adapter          ident.Adapter
	ExpectedAccepted uint64
	// Purpose names what the order is for, for logs.
	Purpose string
}

// PermitRequest asks for a place at the weight store, reported with Fetching. An empty
// Model leaves the choice to whoever hands out the places.
type PermitRequest struct {
	// ID tells the answers apart; only the newest Fetch is of use.
	ID       uint64
	Model    ident.Model
	Priority ident.Priority
	// Remaining is how long the load is of use, or zero.
	Remaining time.Duration
}

func (*Grant) action()         {}
func (*Refuse) action()        {}
func (*Submit) action()        {}
func (*PermitRequest) action() {}
