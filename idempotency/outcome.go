package idempotency

import "github.com/laureltally/laureltally/ident"

// Outcome is the state of a key and the attempt that holds it.
type Outcome struct {
	Kind    Kind
	Attempt ident.Attempt
	Target  Target
	// Reason is the error that caused the kind Unknown, if there was one.
	Reason error
}
