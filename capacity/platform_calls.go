package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/laureltally/laureltally/agent"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/platform"
	"github.com/laureltally/laureltally/platform/memstore"
	"github.com/laureltally/laureltally/router"
)

const (
	// settleTime is given to processes to start their watches.
	settleTime = 1500 * time.Millisecond
	// watchedTime is how long calls are counted.
	watchedTime = 3 * time.Second
)

// callCounts is what a number of processes ask of the platform.
type callCounts struct {
	watches, startReads, startWrites, perSecond float64
}

// platformCalls measures what routers and agents ask of the platform.
func platformCalls(t *table) error {
	if err := roleCalls(t, "router", targetRouters, routerCalls); err != nil {
		return err
	}
	if err := roleCalls(t, "agent", targetAgents, agentCalls); err != nil {
		return err
	}
	s := series{
		What: "list of VMs read by a router, bytes a second", By: "VMs", Xs: []float64{250, 500, 1000, 2000},
		At: targetRouters + targetAgents, Budget: trafficBytes,
	}
	return t.measure(s, listBytes)
}

// roleCalls adds the figures of one role.
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
		{"watches waiting", platformReads, func(c callCounts) float64 { return c.watches }},
		{"reads a second when idle", platformReads, func(c callCounts) float64 { return c.perSecond }},
		{"reads at a start of all", 0, func(c callCounts) float64 { return c.startReads }},
		{"writes at a start of all", 0, func(c callCounts) float64 { return c.startWrites }},
	}
	for _, f := range figures {
		s := series{What: role + "s: " + f.what, By: role + "s", Xs: sizes, At: at, Budget: f.budget}
		err := t.measure(s, func(n int) (float64, error) { return f.of(counted[n]), nil })
		if err != nil {
			return err
		}
	}
	return nil
}

// routerCalls counts the calls of n routers of one environment.
func routerCalls(n int) (callCounts, error) {
	lister := &countingLister{vms: routerVMs(n)}
	return counting(n, lister, func(ctx context.Context, i int, s platform.Store, keys *issuer) error {
		vm := routerName(i)
		credentials, err := keys.issue(vm)
		if err != nil {
			return err
		}
		r, err := router.New(router.Options{
			Settings: config.RouterSettings{
				VM: vm, Region: regionName, Zone: zoneName, AdminListen: "127.0.0.1:0",
				Environments: []ident.Environment{environmentName},
			},
			Store: s, VMs: lister, Credentials: credentials, Logger: quiet(),
		})
		if err != nil {
			return fmt.Errorf("router: %w", err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return r.Serve(ctx, ln)
	})
}

func routerName(i int) ident.VM { return ident.VM(fmt.Sprintf("router-%03d", i)) }

func routerVMs(n int) []platform.VM {
	var vms []platform.VM
	for i := range n {
		vms = append(vms, platform.VM{ID: routerName(i), Role: platform.RoleRouter, Region: regionName, Zone: zoneName})
	}
	return vms
}

// agentCalls counts the calls of n agents beside engines.
func agentCalls(n int) (callCounts, error) {
	return counting(n, &countingLister{}, func(ctx context.Context, i int, s platform.Store, keys *issuer) error {
		credentials, err := keys.issue(agentName(i))
		if err != nil {
			return err
		}
		a, err := agent.New(agent.Options{
			Settings: config.AgentSettings{
				VM: agentName(i), Region: regionName, Zone: zoneName, Environment: environmentName,
				Upstream: upstreamName, Kind: config.KindEngine, MemoryMB: 320_000, PeerListen: "127.0.0.1:0",
			},
			Store: s, Credentials: credentials, Engine: idleEngine{}, Logger: quiet(),
		})
		if err != nil {
			return fmt.Errorf("agent: %w", err)
		}
		return a.Run(ctx)
	})
}

// counting runs n processes on one store and counts their calls.
func counting(n int, lister *countingLister, run func(ctx context.Context, i int, s platform.Store, keys *issuer) error) (callCounts, error) {
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
	c := watchCalls(s, lister, before)
	stop()
	running.Wait()
	return c, errors.Join(errs...)
}

func watchCalls(s *memstore.Store, lister *countingLister, before memstore.Counters) callCounts {
	time.Sleep(settleTime)
	settled, lists := s.Counters(), lister.reads.Load()
	time.Sleep(watchedTime)
	after := s.Counters()
	reads := after.Reads - settled.Reads + lister.reads.Load() - lists
	return callCounts{
		watches:     float64(after.Watches),
		startReads:  float64(settled.Reads - before.Reads),
		startWrites: float64(settled.Writes - before.Writes),
		perSecond:   float64(reads) / watchedTime.Seconds(),
	}
}

// listBytes is the size of the platform's list of n VMs, which a router reads
// once a second.
func listBytes(n int) (float64, error) {
	var vms []platform.VM
	for i := range n {
		r := report(i, 0, 1)
		vms = append(vms, platform.VM{ID: r.VM, Role: r.Role, Region: r.Region, Zone: r.Zone, Address: r.Address, Upstream: r.Upstream})
	}
	b, err := json.Marshal(vms)
	if err != nil {
		return 0, fmt.Errorf("encode list: %w", err)
	}
	return float64(len(b)), nil
}
