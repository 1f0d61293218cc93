package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// claimsPerRouter is the number of claims that each router makes sequentially.
const claimsPerRouter = 16

// claimsPerSecond is the rate of claims of all routers together.
const claimsPerSecond = 100

// claims measures the stored size and the write count of idempotency claims.
func claims(t *table) error {
	size := series{
		Quantity: "claims kept for an hour, bytes", SizeName: "claims", Xs: []float64{500, 1000, 2000, 4000},
		TargetSize: 3600, Budget: idempotency.DefaultBuckets * idempotency.DefaultBucketBytes,
	}
	if err := t.measure(size, claimBytes); err != nil {
		return err
	}
	grouped := series{Quantity: "writes for claims at one time at a router", SizeName: "claims", Xs: []float64{16, 32, 64, 128}, TargetSize: 100}
	if err := t.measure(grouped, groupedWrites); err != nil {
		return err
	}
	spread := series{Quantity: "writes for a claim, one at a time at each router", SizeName: "routers", Xs: []float64{4, 8, 16, 32, 64}, TargetSize: targetRouters, Budget: platformWriteLimit, Rate: claimsPerSecond}
	return t.measure(spread, spreadWrites)
}

func newManager(s metastore.Store, router int) *idempotency.Manager {
	var mu sync.Mutex
	n := 0
	return idempotency.New(idempotency.Options{
		Environment: environmentName, Store: s, Inquirer: unreachableInquirer{}, Logger: quiet(),
		Window: func() time.Duration { return time.Hour },
		NewAttempt: func() ident.Attempt {
			mu.Lock()
			defer mu.Unlock()
			n++
			return ident.Attempt(fmt.Sprintf("router-%03d-123456789abcdef0-%d", router, n))
		},
	})
}

func claimKey(m *idempotency.Manager, router, n int) error {
	key := idempotency.ScopedKey("portal", fmt.Sprintf("order-%d-%d", router, n))
	_, err := m.Claim(context.Background(), key, idempotency.Fingerprint("POST", "/orders", []byte(key)), func() (idempotency.Target, error) {
		return idempotency.Target{VM: agentName(n % targetAgents), Incarnation: 1 << 60}, nil
	})
	if err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	return nil
}

// claimConcurrently makes n concurrent claims at one router.
func claimConcurrently(s metastore.Store, n int) error {
	m := newManager(s, 0)
	defer m.Close()
	errs := make([]error, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { errs[i] = claimKey(m, 0, i) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// claimBytes returns the total size of all buckets that store n claims.
func claimBytes(n int) (float64, error) {
	s := memstore.New(memstore.Options{})
	if err := claimConcurrently(s, n); err != nil {
		return 0, err
	}
	objects, _, err := s.List(context.Background(), "")
	if err != nil {
		return 0, fmt.Errorf("list claims: %w", err)
	}
	total := 0
	for _, o := range objects {
		total += len(o.Value)
	}
	return float64(total), nil
}

func groupedWrites(n int) (float64, error) {
	s := memstore.New(memstore.Options{})
	err := claimConcurrently(slowStore{s}, n)
	return float64(s.Counters().Writes), err
}

// spreadWrites returns the mean number of writes per claim when several routers
// claim concurrently, including writes that fail on a version conflict.
func spreadWrites(routers int) (float64, error) {
	s := memstore.New(memstore.Options{})
	errs := make([]error, routers)
	var running sync.WaitGroup
	for r := range routers {
		running.Go(func() { errs[r] = claimSequentially(slowStore{s}, r) })
	}
	running.Wait()
	return float64(s.Counters().Writes) / float64(routers*claimsPerRouter), errors.Join(errs...)
}

func claimSequentially(s metastore.Store, router int) error {
	m := newManager(s, router)
	defer m.Close()
	for i := range claimsPerRouter {
		if err := claimKey(m, router, i); err != nil {
			return err
		}
	}
	return nil
}
