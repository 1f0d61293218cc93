package engine

import "context"

// Client talks to the admin API of one engine. A refusal is a *Problem; any
// other error of Submit leaves open whether the order runs.
type Client interface {
	State(ctx context.Context) (State, error)
	Submit(ctx context.Context, o Order) error
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, since uint64) (CacheEvents, error)
}
