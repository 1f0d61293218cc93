package main

import (
	"fmt"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// Names and sizes of the measured fleet.
const (
	environmentName = ident.Environment("muotiennuste")
	regionName      = ident.Region("uusimaa")
	zoneName        = ident.Zone("uusimaa-1")
	upstreamName    = ident.Upstream("drafting")
	// loadedAdapters is the number of adapters that each loaded model reports.
	loadedAdapters = 8
)

func modelName(i int) ident.Model { return ident.Model(fmt.Sprintf("outlook-%03d", i)) }

func adapterName(i int) ident.Adapter { return ident.Adapter(fmt.Sprintf("colour-%05d", i)) }

func agentName(i int) ident.VM { return ident.VM(fmt.Sprintf("engine-%05d", i)) }

// report returns a report of agent i with the given number of models, of which
// half are loaded.
func report(i, models int, seq uint64) *wire.Report {
	r := &wire.Report{
		VM:                agentName(i),
		Incarnation:       ident.Incarnation(1<<60 + i),
		Seq:               seq,
		Role:              metastore.RoleAgent,
		Region:            regionName,
		Zone:              zoneName,
		Upstream:          upstreamName,
		Address:           fmt.Sprintf("10.1.%d.%d:7443", i/256, i%256),
		Configs:           map[ident.Environment]metastore.Version{environmentName: 123_456},
		FreeMB:            24_000,
		Running:           int(seq % 8),
		Waiting:           int(seq % 3),
		Concurrency:       16,
		WaitingByPriority: []int{1, 0, 1},
	}
	for m := range models {
		r.Models = append(r.Models, modelReport((i+m)%targetModels, m%2 == 0))
	}
	return r
}

func modelReport(n int, loaded bool) wire.ModelReport {
	r := wire.ModelReport{Model: modelName(n), Tier: engine.TierDisk, Fence: ident.Fence(1000 + n)}
	if !loaded {
		return r
	}
	r.Phase, r.Tier, r.Running = engine.PhaseLoaded, engine.TierMemory, 2
	for a := range loadedAdapters {
		r.Adapters = append(r.Adapters, adapterName(n*loadedAdapters+a))
	}
	return r
}
