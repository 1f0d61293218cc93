package idempotency

import "github.com/laureltally/laureltally/ident"

// Target is the agent that an attempt is sent to.
type Target struct {
	VM          ident.VM
	Incarnation ident.Incarnation
}
