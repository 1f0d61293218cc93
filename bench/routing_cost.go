package main

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/routing"
	"github.com/laureltally/laureltally/wire"
)

// Target sizes of the system.
const (
	targetReplicas = 1600
	targetAdapters = 26000
	targetModels   = 140
	targetRegions  = 6
	targetRouters  = 360
)

// maxCostGrowth is the maximum ratio of the cost of a choice at ten times the
// replicas to the cost at the target size, with the same number of replicas for
// each model.
const maxCostGrowth = 2.0

// newTable returns a routing table with reports of replicas that are spread evenly
// over models and adapters.
func newTable(replicas, models, adapters int) *routing.Table {
	r := rand.New(rand.NewPCG(1, 1))
	chooser, err := routing.New(routing.Options{Rand: r, Routers: targetRouters / targetRegions})
	if err != nil {
		panic(err)
	}
	t := routing.NewTable(chooser)
	for i := range replicas {
		rep := &wire.Report{
			VM:          ident.VM(fmt.Sprintf("vm-%d", i)),
			Role:        metastore.RoleAgent,
			Seq:         1,
			Region:      region(i / models % targetRegions),
			Upstream:    "drafting",
			Running:     r.IntN(8),
			Waiting:     r.IntN(4),
			Concurrency: 8,
		}
		m := wire.ModelReport{Model: model(i % models), Phase: engine.PhaseLoaded}
		for a := i; a < adapters; a += replicas {
			m.Adapters = append(m.Adapters, adapter(a))
		}
		rep.Models = []wire.ModelReport{m}
		t.Report(time.Unix(0, 0), rep, 0)
	}
	return t
}

func region(i int) ident.Region   { return ident.Region(fmt.Sprintf("region-%d", i)) }
func model(i int) ident.Model     { return ident.Model(fmt.Sprintf("model-%d", i)) }
func adapter(i int) ident.Adapter { return ident.Adapter(fmt.Sprintf("adapter-%d", i)) }

// choiceCost benchmarks one choice, including the update of the request counts.
func choiceCost(replicas, models, adapters int) testing.BenchmarkResult {
	t := newTable(replicas, models, adapters)
	lookups := make([]routing.Lookup, 1024)
	for i := range lookups {
		lookups[i] = routing.Lookup{
			Request: routing.Request{Region: region(i % targetRegions), Affinity: uint64(i % 3), Remaining: time.Second, AllowCrossRegion: true},
			Target:  routing.Target{Upstream: "drafting", Model: model(i % models)},
			Adapter: adapter(i % max(1, adapters)),
		}
	}
	return testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		now := time.Unix(0, 0)
		for i := range b.N {
			l := lookups[i%len(lookups)]
			vm, _, err := t.Choose(now, l)
			if err != nil {
				panic(err)
			}
			t.RequestStarted(now, vm, 0)
			t.RequestEnded(now, vm, l.Target, 0, time.Millisecond)
		}
	})
}

// routingCostSection measures the cost of a choice by the number of replicas in
// total and of one model.
func routingCostSection(t *table) {
	const name = "cost of a routing decision"
	nanos := make(map[int]float64)
	for _, replicas := range []int{160, 400, 800, targetReplicas, 10 * targetReplicas} {
		models := replicas * targetModels / targetReplicas
		r := choiceCost(replicas, models, replicas*targetAdapters/targetReplicas)
		nanos[replicas] = float64(r.T.Nanoseconds()) / float64(r.N)
		figure := fmt.Sprintf("%d replicas, %d models, %d adapters", replicas, models, replicas*targetAdapters/targetReplicas)
		t.add(row{name, figure, "0 B, 0 allocs", "", fmt.Sprintf("%.0f ns, %d B, %d allocs", nanos[replicas], r.AllocedBytesPerOp(), r.AllocsPerOp()), verdictFor(r.AllocsPerOp() == 0)})
	}
	growth := nanos[10*targetReplicas] / nanos[targetReplicas]
	t.add(row{name, "slope: cost at ten times the fleet / cost", "<= 2", "", fmt.Sprintf("%.2f", growth), verdictFor(growth <= maxCostGrowth)})
	few, many := choiceCost(targetReplicas, targetReplicas/12, targetAdapters), choiceCost(targetReplicas, targetReplicas/200, targetAdapters)
	perCandidate := (many.T.Seconds()/float64(many.N) - few.T.Seconds()/float64(few.N)) * 1e9 / (200 - 12)
	t.add(row{name, "slope: ns for each further replica of the model (12 to 200)", "", "", fmt.Sprintf("%.1f ns", perCandidate), info})
}
