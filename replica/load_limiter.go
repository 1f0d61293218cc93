package replica

import (
	"context"

	"github.com/laureltally/laureltally/ident"
)

// LoadLimiter issues permits for loads from the weight store. It is a soft
// limit: if Acquire fails for a reason other than ctx, the load proceeds
// without a permit.
type LoadLimiter interface {
	Acquire(ctx context.Context, m ident.Model, a ident.Adapter, p ident.Priority) (release func(), err error)
}
