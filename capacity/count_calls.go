package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

const (
	// settleTime is the time that processes get to start their watches.
	settleTime = 1500 * time.Millisecond
	// countWindow is the time over which calls of idle processes are counted.
	countWindow = 3 * time.Second
)

// countCalls runs n processes on one store and counts their calls.
func countCalls(n int, lister *countingLister, run func(ctx context.Context, i int, s metastore.Store, keys *issuer) error) (callCounts, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s, err := storedDocument(ctx, targetModels, 0, targetAgents)
	if err != nil {
		return callCounts{}, err
	}
	keys, err := newIssuer()
	if err != nil {
		return callCounts{}, err
	}
	defer keys.close()
	before := s.Counters()
	errs := make([]error, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { errs[i] = run(ctx, i, s, keys) })
	}
	c := measureCalls(s, lister, before)
	stop()
	running.Wait()
	return c, errors.Join(errs...)
}

func measureCalls(s *memstore.Store, lister *countingLister, before memstore.Counters) callCounts {
	time.Sleep(settleTime)
	settled, lists := s.Counters(), lister.reads.Load()
	time.Sleep(countWindow)
	after := s.Counters()
	reads := after.Reads - settled.Reads + lister.reads.Load() - lists
	return callCounts{
		watches:        float64(after.Watches),
		startReads:     float64(settled.Reads - before.Reads),
		startWrites:    float64(settled.Writes - before.Writes),
		readsPerSecond: float64(reads) / countWindow.Seconds(),
	}
}
