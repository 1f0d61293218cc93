package loadlimit

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Request is a request for a permit to load from the weight store.
type Request struct {
	ID       PermitID
	VM       ident.VM
	Class    Class
	Priority ident.Priority
	// Deadline is the time after which the load is no longer useful. Zero means
	// no deadline; such requests come last within their priority.
	Deadline time.Time
	// MemoryMB is the size of the weights, in MiB.
	MemoryMB int64
}
