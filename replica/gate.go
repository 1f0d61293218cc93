package replica

import (
	"context"

	"github.com/laureltally/laureltally/ident"
)

// LoadLimiter hands out places at the weight store. It is a soft limit: a load whose
// Acquire fails other than by ctx goes on without a place.
type LoadLimiter interface {
	Acquire(ctx context.Context, m ident.Model, a ident.Adapter, p ident.Priority) (release func(), err error)
}
