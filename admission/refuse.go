package admission

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Refuse ends a request that has not run. The queue has removed it.
type Refuse struct {
	ID   ident.Attempt
	Code wire.Code
	// RetryAfter is the delay after which an item is likely to be admitted,
	// different for each caller so that retries are spread over time.
	RetryAfter time.Duration
}

func (Refuse) action() {}
