package agent

import (
	"context"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/replica"
	"github.com/laureltally/laureltally/wire"
)

// Replicas keeps models loaded in the engine beside the agent. *replica.Manager
// implements it.
type Replicas interface {
	Run(ctx context.Context) error
	Acquire(ctx context.Context, n replica.Requirements) (*replica.Lease, error)
	Models() []wire.ModelReport
	Loaded(m ident.Model) bool
	FreeMB() int64
	Drain(ctx context.Context) error
}
