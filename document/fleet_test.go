package document

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/metastore/memstore"
)

const (
	fleetSize           = 1960
	fleetReadsPerSecond = 2000
	// fleetRecoveryTimeout is the maximum time from the end of an outage until all
	// processes have the newest document.
	fleetRecoveryTimeout = 8 * time.Second
)

// TestFleetRecoversAfterOutage ends the watches of all processes at once and then
// changes the document. All processes must get the new version in time, although
// their calls together are subject to the platform's rate limit.
func TestFleetRecoversAfterOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Millisecond, time.Minute} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testFleetOutage(t, outage) })
		})
	}
}

func testFleetOutage(t *testing.T, outage time.Duration) {
	s := memstore.New(memstore.Options{ReadsPerSecond: fleetReadsPerSecond})
	first := mustApply(t, newRepository(s, "x"), 1, 0)
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	fleet := make([]*Watcher, fleetSize)
	for i := range fleet {
		fleet[i] = NewWatcher(WatcherOptions{Store: s, Environment: "e", Logger: quiet})
		all.Go(func() { _ = fleet[i].Run(ctx) })
	}
	time.Sleep(5 * time.Minute)
	s.SetFaults(memstore.Faults{Outage: true})
	time.Sleep(outage)
	s.SetFaults(memstore.Faults{})
	before := s.Counters()
	second := mustApply(t, newRepository(s, "y"), 2, first.Version)
	start := time.Now()
	behind := fleetSize
	for behind > 0 && time.Since(start) < fleetRecoveryTimeout {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		behind = 0
		for _, w := range fleet {
			if w.InForce().Version != second.Version {
				behind++
			}
		}
	}
	after := s.Counters()
	t.Logf("recovered after %v: %d reads, %d refused", time.Since(start), after.Reads-before.Reads, after.Refused-before.Refused)
	if behind > 0 {
		t.Errorf("%d of %d processes have an old version after %v", behind, fleetSize, time.Since(start))
	}
	stop()
	all.Wait()
}
