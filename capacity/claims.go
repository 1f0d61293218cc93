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

// claimsPerRouter is how many claims each router makes, one after the other.
const claimsPerRouter = 16

// claimsPerSecond is how many claims all routers make together.
const claimsPerSecond = 100

// claims measures what claims of idempotency keys take.
func claims(t *table) error {
	size := series{
		What: "claims kept for an hour, bytes", By: "claims", Xs: []float64{500, 1000, 2000, 4000},
		At: 3600, Budget: idempotency.DefaultBuckets * idempotency.DefaultBucketBytes,
	}
	if err := t.measure(size, claimBytes); err != nil {
		return err
	}
	grouped := series{What: "writes for claims at one time at a router", By: "claims", Xs: []float64{16, 32, 64, 128}, At: 100}
	if err := t.measure(grouped, groupedWrites); err != nil {
		return err
	}
	spread := series{What: "writes for a claim, one at a time at each router", By: "routers", Xs: []float64{4, 8, 16, 32, 64}, At: targetRouters, Budget: platformWrites, Rate: claimsPerSecond}
	return t.measure(spread, spreadWrites)
}

func newKeeper(s metastore.Store, router int) *idempotency.Manager {
	var mu sync.Mutex
	n := 0
	return idempotency.New(idempotency.Options{
		Environment: environmentName, Store: s, Inquirer: silentAsker{}, Logger: quiet(),
		Window: func() time.Duration { return time.Hour },
		NewAttempt: func() ident.Attempt {
			mu.Lock()
			defer mu.Unlock()
			n++
			return ident.Attempt(fmt.Sprintf("router-%03d-123456789abcdef0-%d", router, n))
		},
	})
}

func begin(k *idempotency.Manager, router, n int) error {
	key := idempotency.ScopedKey("portal", fmt.Sprintf("order-%d-%d", router, n))
	_, err := k.Claim(context.Background(), key, idempotency.Fingerprint("POST", "/orders", []byte(key)), func() (idempotency.Target, error) {
		return idempotency.Target{VM: agentName(n % targetAgents), Incarnation: 1 << 60}, nil
	})
	if err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	return nil
}

// claimTogether makes n claims at one router at one time.
func claimTogether(s metastore.Store, n int) error {
	k := newKeeper(s, 0)
	defer k.Close()
	errs := make([]error, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { errs[i] = begin(k, 0, i) })
	}
	running.Wait()
	return errors.Join(errs...)
}

// claimBytes is the size of all buckets with n claims.
func claimBytes(n int) (float64, error) {
	s := memstore.New(memstore.Options{})
	if err := claimTogether(s, n); err != nil {
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
	err := claimTogether(slowStore{s}, n)
	return float64(s.Counters().Writes), err
}

// spreadWrites counts the writes for one claim, lost races included.
func spreadWrites(routers int) (float64, error) {
	s := memstore.New(memstore.Options{})
	errs := make([]error, routers)
	var running sync.WaitGroup
	for r := range routers {
		running.Go(func() { errs[r] = claimInTurn(slowStore{s}, r) })
	}
	running.Wait()
	return float64(s.Counters().Writes) / float64(routers*claimsPerRouter), errors.Join(errs...)
}

func claimInTurn(s metastore.Store, router int) error {
	k := newKeeper(s, router)
	defer k.Close()
	for i := range claimsPerRouter {
		if err := begin(k, router, i); err != nil {
			return err
		}
	}
	return nil
}
