package serving

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// AttemptInfo is the information added to a request that is sent to a VM.
type AttemptInfo struct {
	// VM is the VM that must serve the request; any other VM refuses it.
	VM ident.VM
	// Remaining is the time within which the response is useful. Zero means unknown.
	Remaining time.Duration
	// LastEventID makes the VM continue a stream after that event.
	LastEventID string
	// Authenticated is set if the configuration has tenants: the caller's key is removed,
	// and Tenant is the tenant that the upstream is told of, or empty for none.
	Authenticated bool
	Tenant        ident.Tenant
	// Urgency tells the upstream which requests to admit first.
	Urgency Urgency
}
