package main

import (
	"time"

	"github.com/laureltally/laureltally/gossip"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/membership"
	"github.com/laureltally/laureltally/metastore"
)

// agentSizes returns the numbers of agents at which router state is measured.
func agentSizes() []float64 { return []float64{50, 100, 200, 400, 800} }

// routerState measures the heap size of a router's state about the agents.
func routerState(t *table) error {
	structures := []struct {
		what string
		f    func(n int) (any, error)
	}{
		{"routing table and reports, bytes", func(n int) (any, error) { return newRoutingTable(n) }},
		{"membership view, bytes", func(n int) (any, error) { return newMembershipView(n), nil }},
		{"digest view, bytes", func(n int) (any, error) { return newGossipView(n), nil }},
	}
	for _, structure := range structures {
		s := series{Quantity: structure.what, SizeName: "agents", Xs: agentSizes(), TargetSize: targetAgents, Budget: memoryBudgetBytes}
		err := t.measure(s, func(n int) (float64, error) {
			return retainedHeap(func() (any, error) { return structure.f(n) })
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func newMembershipView(agents int) *membership.View {
	v := membership.New(membership.Options{})
	var listed []metastore.VM
	for i := range agents {
		r := report(i, 0, 1)
		listed = append(listed, metastore.VM{ID: r.VM, Role: r.Role, Region: r.Region, Zone: r.Zone, Address: r.Address, Upstream: r.Upstream})
	}
	v.ApplyListing(time.Unix(0, 0), listed)
	return v
}

func newGossipView(agents int) *gossip.View {
	v := gossip.New(gossip.Options{Log: ident.Incarnation(1)})
	for i := range agents {
		v.Update(*report(i, modelsPerAgent, 1))
	}
	return v
}
