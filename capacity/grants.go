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

// grants measures what the rights to load models take.
func grants(t *table) error {
	size := series{
		What: "grants in a listing, bytes", By: "slots", Xs: []float64{100, 200, 400, 800},
		At: targetAgents * modelsPerAgent,
	}
	if err := t.measure(size, grantBytes); err != nil {
		return err
	}
	writes := series{
		What: "writes for one VM replaced", By: "models with a slot there", Xs: []float64{2, 4, 8, 16},
		At: modelsPerAgent,
	}
	return t.measure(writes, replacementWrites)
}

// grantBytes is the size of the grants of targetModels models with n slots.
func grantBytes(n int) (float64, error) {
	total := 0
	for m := range targetModels {
		g := allocation.Allocation{DocumentVersion: 123_456, Limit: targetAgents, LastFence: 9999, Writer: "router-001-123456789abcdef0-42"}
		for i := m; i < n; i += targetModels {
			g.Slots = append(g.Slots, allocation.Slot{VM: agentName(i), Fence: ident.Fence(1000 + i), State: allocation.Held})
		}
		b, err := g.Encode()
		if err != nil {
			return 0, fmt.Errorf("grant: %w", err)
		}
		total += len(b)
	}
	return float64(total), nil
}

const (
	// replacedFleet is how many VMs share each model.
	replacedFleet = 4
	// quietTime without a write ends a count.
	quietTime = 300 * time.Millisecond
	// confirmTime is how long lists must lack a VM in the measurement.
	confirmTime = 50 * time.Millisecond
	// listEvery is how often a planner gets the list in the measurement.
	listEvery = 10 * time.Millisecond
)

// replacementWrites counts the writes after one of the VMs that each hold a
// slot of n models is replaced.
func replacementWrites(n int) (float64, error) {
	s, err := storedDocument(context.Background(), n, 0, replacedFleet)
	if err != nil {
		return 0, err
	}
	p, err := allocation.NewPlanner(allocation.Options{
		Environment: environmentName, Self: "router-000", Incarnation: 1, Store: s,
		RemovalDelay: confirmTime, WritesPerSecond: 1000,
	})
	if err != nil {
		return 0, fmt.Errorf("planner: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	running.Go(func() { _ = p.Run(ctx) })
	p.SetDocument(1, newDocument(n, 0, replacedFleet))
	settleWrites(s, p, fleetFrom(0))
	before := s.Counters().Writes
	if before < int64(n) {
		return 0, &setupError{What: "grants were not written"}
	}
	settleWrites(s, p, fleetFrom(1))
	return float64(s.Counters().Writes - before), nil
}

// fleetFrom lists a router and replacedFleet agents from number i on.
func fleetFrom(i int) []metastore.VM {
	vms := []metastore.VM{{ID: "router-000", Role: metastore.RoleRouter, Region: regionName, Zone: zoneName}}
	for n := range replacedFleet {
		vms = append(vms, metastore.VM{ID: agentName(i + n), Role: metastore.RoleAgent, Region: regionName, Zone: zoneName, Upstream: upstreamName})
	}
	return vms
}

// settleWrites gives the planner the list until it writes no more.
func settleWrites(s *memstore.Store, p *allocation.Planner, vms []metastore.VM) {
	last, since := s.Counters().Writes, time.Now()
	for time.Since(since) < quietTime {
		p.SetVMs(vms)
		time.Sleep(listEvery)
		if n := s.Counters().Writes; n != last {
			last, since = n, time.Now()
		}
	}
}
