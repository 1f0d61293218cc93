package main

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/platform"
)

// storeDelay is how long the platform takes to answer.
const storeDelay = 3 * time.Millisecond

// slowStore answers reads and writes of single objects after storeDelay.
type slowStore struct{ platform.Store }

// Get implements platform.Store.
func (s slowStore) Get(ctx context.Context, key string) (platform.Object, error) {
	time.Sleep(storeDelay)
	return s.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (s slowStore) Put(ctx context.Context, key string, value []byte, expect platform.Version) (platform.Version, error) {
	time.Sleep(storeDelay)
	return s.Store.Put(ctx, key, value, expect)
}
