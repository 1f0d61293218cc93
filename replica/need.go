package replica

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Requirements is what a request needs loaded before it can run.
type Requirements struct {
	Model    ident.Model
	Adapter  ident.Adapter
	Priority ident.Priority
	// Deadline ends the wait; zero means that only the context does.
	Deadline time.Time
	// Prewarm marks a need without a request of its own, which the keep-alive
	// policy does not count as one.
	Prewarm bool
}
