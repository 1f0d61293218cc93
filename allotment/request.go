package allotment

import "github.com/laureltally/laureltally/ident"

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
}
