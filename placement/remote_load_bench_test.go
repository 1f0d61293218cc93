package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

// BenchmarkNextRemoteLoad measures the choice of the next remote load for an idle
// engine, with 56 VMs and 170 models of which each VM has 12 cached.
func BenchmarkNextRemoteLoad(b *testing.B) {
	const vms, models, cached = 56, 170, 12
	balancer, err := New(Options{Region: "r0", Zone: "z0", AgentPort: 7000, Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		b.Fatal(err)
	}
	e := &serving.Engine{MemoryMB: 100, Concurrency: 16}
	for i := range models {
		e.Models = append(e.Models, serving.Model{Name: ident.Model(fmt.Sprint("m", i)), MemoryMB: 45, RemoteLoad: 6 * time.Second})
	}
	e.Index()
	balancer.Configure(map[ident.Upstream]*serving.Service{"models": {Name: "models", Engine: e}})
	for i := range vms {
		vm := &fleet.VM{ID: ident.VM(fmt.Sprint(i)), Service: "models", Address: address(i), Zone: "z0", Region: "r0", Concurrency: 16}
		if err := balancer.Apply(start, []fleet.Change{{Kind: fleet.Joined, VM: vm}}); err != nil {
			b.Fatal(err)
		}
		r := &wire.Report{Concurrency: 16}
		for k := range cached {
			r.Models = append(r.Models, wire.ModelReport{Model: e.Models[(i*3+k)%models].Name, Tier: engine.TierDisk})
		}
		balancer.Report(start, address(i), r)
	}
	for b.Loop() {
		balancer.NextRemoteLoad(start, "models", address(0))
	}
}
