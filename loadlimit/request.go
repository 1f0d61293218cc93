package loadlimit

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Request asks for a place at the weight store.
type Request struct {
	ID       PermitID
	VM       ident.VM
	Class    Class
	Priority ident.Priority
	// Deadline is when the load is of no more use. Zero means that there is
	// none; such requests come last in their priority.
	Deadline time.Time
	// MemoryMB is the size of the weights, in MiB.
	MemoryMB int64
}
