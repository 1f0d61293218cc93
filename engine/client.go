package engine

import "context"

// Client calls the admin API of one engine. Submit returns a *Problem for a refused
// order; after any other error the order may still run.
type Client interface {
	State(ctx context.Context) (State, error)
	Submit(ctx context.Context, o Order) error
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, since uint64) (CacheEvents, error)
}
