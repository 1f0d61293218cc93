package main

import (
	"context"

	"github.com/laureltally/laureltally/engine"
)

// idleEngine is an engine.Client whose engine has no model loaded.
type idleEngine struct{}

// State implements engine.Client.
func (idleEngine) State(context.Context) (engine.State, error) {
	return engine.State{Instance: "idle"}, nil
}

// Submit implements engine.Client.
func (idleEngine) Submit(context.Context, engine.Order) error { return nil }

// Load implements engine.Client.
func (idleEngine) Load(context.Context) (engine.LoadReport, error) {
	return engine.LoadReport{}, nil
}

// CacheEvents implements engine.Client.
func (idleEngine) CacheEvents(_ context.Context, since uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{Next: since}, nil
}
