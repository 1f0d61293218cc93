package allotment

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Request asks a bank for a loan.
type Request struct {
	Tenant ident.Tenant
	Terms  Terms
	// Amount is what waiting requests cost, and Least what the first of them needs: a loan
	// of less is of no use. Both are zero if none waits.
	Amount, Least float64
	// Ahead is what the router expects to need soon in addition.
	Ahead float64
	// Refused is the cost of requests that were refused, without asking, since the last
	// Request.
	Refused float64
	// ListAge is the age of the list of VMs by which the bank was chosen.
	ListAge time.Duration
	// Closed tells the bank that by this list it is no longer one of the tenant. Routers with
	// older lists, which may be cut off from the store, get nothing from it either.
	Closed bool
}
