package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Refuse ends a request that has not run and that the queue no longer knows.
type Refuse struct {
	ID   ident.Attempt
	Code wire.Code
	// RetryAfter is when a place is likely to be free, spread over callers.
	RetryAfter time.Duration
}

func (Refuse) action() {}
