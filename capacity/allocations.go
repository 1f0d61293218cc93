package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/allocation"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// allocations measures the stored size of the allocations and the writes after a
// VM is replaced.
func allocations(t *table) error {
	size := series{
		Quantity: "grants in a listing, bytes", SizeName: "slots", Xs: []float64{100, 200, 400, 800},
		TargetSize: targetAgents * modelsPerAgent,
	}
	if err := t.measure(size, allocationBytes); err != nil {
		return err
	}
	writes := series{
		Quantity: "writes for one VM replaced", SizeName: "models with a slot there", Xs: []float64{2, 4, 8, 16},
		TargetSize: modelsPerAgent,
	}
	return t.measure(writes, replacementWrites)
}

// allocationBytes returns the total size of the allocations of targetModels models
// with n slots.
func allocationBytes(n int) (float64, error) {
	total := 0
	for m := range targetModels {
		a := allocation.Allocation{DocumentVersion: 123_456, Limit: targetAgents, LastFence: 9999, Writer: "router-001-123456789abcdef0-42"}
		for i := m; i < n; i += targetModels {
			a.Slots = append(a.Slots, allocation.Slot{VM: agentName(i), Fence: ident.Fence(1000 + i), State: allocation.Held})
		}
		b, err := a.Encode()
		if err != nil {
			return 0, fmt.Errorf("encode allocation: %w", err)
		}
		total += len(b)
	}
	return float64(total), nil
}

const (
	// vmsPerModel is the number of VMs with a slot of each model.
	vmsPerModel = 4
	// writeQuietPeriod is the time without a write after which a count ends.
	writeQuietPeriod = 300 * time.Millisecond
	// removalDelay is how long a VM must be missing from the list before the planner
	// removes it.
	removalDelay = 50 * time.Millisecond
	// listInterval is the interval at which the planner gets the VM list.
	listInterval = 10 * time.Millisecond
)

// replacementWrites returns the number of writes after one of vmsPerModel VMs,
// which each have a slot of n models, is replaced.
func replacementWrites(n int) (float64, error) {
	s, err := storedDocument(context.Background(), n, 0, vmsPerModel)
	if err != nil {
		return 0, err
	}
	p, err := allocation.NewPlanner(allocation.Options{
		Environment: environmentName, Self: "router-000", Incarnation: 1, Store: s,
		RemovalDelay: removalDelay, WritesPerSecond: 1000,
	})
	if err != nil {
		return 0, fmt.Errorf("create planner: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { _ = p.Run(ctx) })
	p.SetDocument(1, newDocument(n, 0, vmsPerModel))
	settleWrites(s, p, fleetFrom(0))
	before := s.Counters().Writes
	if before < int64(n) {
		return 0, &setupError{Problem: "too few allocations written"}
	}
	settleWrites(s, p, fleetFrom(1))
	return float64(s.Counters().Writes - before), nil
}

// fleetFrom returns a list of one router and vmsPerModel agents, numbered from i.
func fleetFrom(i int) []metastore.VM {
	vms := []metastore.VM{{ID: "router-000", Role: metastore.RoleRouter, Region: regionName, Zone: zoneName}}
	for n := range vmsPerModel {
		vms = append(vms, metastore.VM{ID: agentName(i + n), Role: metastore.RoleAgent, Region: regionName, Zone: zoneName, Upstream: upstreamName})
	}
	return vms
}

// settleWrites sends the list to the planner until it has written nothing for
// writeQuietPeriod.
func settleWrites(s *memstore.Store, p *allocation.Planner, vms []metastore.VM) {
	last, since := s.Counters().Writes, time.Now()
	for time.Since(since) < writeQuietPeriod {
		p.SetVMs(vms)
		time.Sleep(listInterval)
		if n := s.Counters().Writes; n != last {
			last, since = n, time.Now()
		}
	}
}
