package serving

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// AttemptInfo is what the system adds to a request that it sends to a VM.
type AttemptInfo struct {
	// VM must be the one that serves it; another refuses the request.
	VM ident.VM
	// Remaining is how long the answer is of use. Zero means unknown.
	Remaining time.Duration
	// LastEventID makes a VM continue a stream after that event.
	LastEventID string
}
