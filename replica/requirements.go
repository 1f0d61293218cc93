package replica

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Requirements describes what a request requires to be loaded before it can
// run.
type Requirements struct {
	Model    ident.Model
	Adapter  ident.Adapter
	Priority ident.Priority
	// Deadline ends the wait. Zero means that only the context ends it.
	Deadline time.Time
	// Prewarm marks a load ahead of any request, which the keep-alive policy
	// does not count as a request.
	Prewarm bool
}
