package main

import (
	"encoding/json"
	"fmt"

	"github.com/laureltally/laureltally/metastore"
)

// platformCalls measures the calls of routers and agents to the platform.
func platformCalls(t *table) error {
	if err := roleCalls(t, "router", targetRouters, routerCalls); err != nil {
		return err
	}
	if err := roleCalls(t, "agent", targetAgents, agentCalls); err != nil {
		return err
	}
	s := series{
		Quantity: "list of VMs read by a router, bytes a second", SizeName: "VMs", Xs: []float64{250, 500, 1000, 2000},
		TargetSize: targetRouters + targetAgents, Budget: trafficBudgetBytes,
	}
	return t.measure(s, listBytes)
}

// roleCalls adds the call counts of the processes of one role to the table.
func roleCalls(t *table, role string, at float64, count func(n int) (callCounts, error)) error {
	sizes := []float64{4, 8, 16, 32}
	counted := make(map[int]callCounts)
	for _, n := range sizes {
		c, err := count(int(n))
		if err != nil {
			return err
		}
		counted[int(n)] = c
	}
	figures := []struct {
		what   string
		budget float64
		of     func(callCounts) float64
	}{
		{"watches waiting", platformReadLimit, func(c callCounts) float64 { return c.watches }},
		{"reads a second when idle", platformReadLimit, func(c callCounts) float64 { return c.readsPerSecond }},
		{"reads at a start of all", 0, func(c callCounts) float64 { return c.startReads }},
		{"writes at a start of all", 0, func(c callCounts) float64 { return c.startWrites }},
	}
	for _, f := range figures {
		s := series{Quantity: role + "s: " + f.what, SizeName: role + "s", Xs: sizes, TargetSize: at, Budget: f.budget}
		err := t.measure(s, func(n int) (float64, error) { return f.of(counted[n]), nil })
		if err != nil {
			return err
		}
	}
	return nil
}

// listBytes returns the size of the platform's list of n VMs, which a router reads
// once a second.
func listBytes(n int) (float64, error) {
	var vms []metastore.VM
	for i := range n {
		r := report(i, 0, 1)
		vms = append(vms, metastore.VM{ID: r.VM, Role: r.Role, Region: r.Region, Zone: r.Zone, Address: r.Address, Upstream: r.Upstream})
	}
	b, err := json.Marshal(vms)
	if err != nil {
		return 0, fmt.Errorf("encode list: %w", err)
	}
	return float64(len(b)), nil
}
