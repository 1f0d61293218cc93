package main

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// storeDelay is the simulated response time of the platform's store.
const storeDelay = 3 * time.Millisecond

// slowStore delays reads and writes of single objects by storeDelay.
type slowStore struct{ metastore.Store }

// Get implements metastore.Store.
func (s slowStore) Get(ctx context.Context, key string) (metastore.Object, error) {
	time.Sleep(storeDelay)
	return s.Store.Get(ctx, key)
}

// Put implements metastore.Store.
func (s slowStore) Put(ctx context.Context, key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	time.Sleep(storeDelay)
	return s.Store.Put(ctx, key, value, expect)
}
