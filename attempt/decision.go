package attempt

import "github.com/laureltally/laureltally/wire"

// Decision is the result of a dispatch: accepted and queued, or refused.
type Decision struct {
	Accepted bool
	// Refusal is set unless the attempt was accepted.
	Refusal wire.Refusal
}
