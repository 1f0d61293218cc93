package idempotency

import "github.com/laureltally/laureltally/ident"

// Outcome is the state of a key's claim.
type Outcome struct {
	Kind    Kind
	Attempt ident.Attempt
	Target  Target
	// Reason is why the outcome is Unknown, if an error was the cause.
	Reason error
}
