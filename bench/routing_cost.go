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

// Sizes of the letter.
const (
	letterReplicas = 1600
	letterAdapters = 26000
	letterModels   = 140
	letterRegions  = 6
	letterRouters  = 360
)

// maxCostGrowth bounds the cost of a choice at ten times the fleet, with the same
// number of replicas for each model.
const maxCostGrowth = 2.0

// fleet fills a table with replicas that are spread over models, and with loaded
// adapters.
func fleet(replicas, models, adapters int) *routing.Table {
	r := rand.New(rand.NewPCG(1, 1))
	chooser, err := routing.New(routing.Options{Rand: r, Routers: letterRouters / letterRegions})
	if err != nil {
		panic(err)
	}
	t := routing.NewTable(chooser)
	for i := range replicas {
		rep := &wire.Report{
			VM:          ident.VM(fmt.Sprintf("vm-%d", i)),
			Role:        metastore.RoleAgent,
			Seq:         1,
			Region:      region(i / models % letterRegions),
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

// choiceCost measures one choice with its counting.
func choiceCost(replicas, models, adapters int) testing.BenchmarkResult {
	t := fleet(replicas, models, adapters)
	lookups := make([]routing.Lookup, 1024)
	for i := range lookups {
		lookups[i] = routing.Lookup{
			Request: routing.Request{Region: region(i % letterRegions), Affinity: uint64(i % 3), Remaining: time.Second, AllowCrossRegion: true},
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

// routingCostSection measures the cost of a choice over the size of the fleet and
// over the replicas of one model.
func routingCostSection(t *table) {
	const name = "cost of a routing decision"
	nanos := make(map[int]float64)
	for _, replicas := range []int{160, 400, 800, letterReplicas, 10 * letterReplicas} {
		models := replicas * letterModels / letterReplicas
		r := choiceCost(replicas, models, replicas*letterAdapters/letterReplicas)
		nanos[replicas] = float64(r.T.Nanoseconds()) / float64(r.N)
		figure := fmt.Sprintf("%d replicas, %d models, %d adapters", replicas, models, replicas*letterAdapters/letterReplicas)
		t.add(row{name, figure, "0 B, 0 allocs", "", fmt.Sprintf("%.0f ns, %d B, %d allocs", nanos[replicas], r.AllocedBytesPerOp(), r.AllocsPerOp()), judge(r.AllocsPerOp() == 0)})
	}
	growth := nanos[10*letterReplicas] / nanos[letterReplicas]
	t.add(row{name, "slope: cost at ten times the fleet / cost", "<= 2", "", fmt.Sprintf("%.2f", growth), judge(growth <= maxCostGrowth)})
	few, many := choiceCost(letterReplicas, letterReplicas/12, letterAdapters), choiceCost(letterReplicas, letterReplicas/200, letterAdapters)
	perCandidate := (many.T.Seconds()/float64(many.N) - few.T.Seconds()/float64(few.N)) * 1e9 / (200 - 12)
	t.add(row{name, "slope: ns for each further replica of the model (12 to 200)", "", "", fmt.Sprintf("%.1f ns", perCandidate), info})
}
