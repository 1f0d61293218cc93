package main

import (
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// hotpathSeeds is the number of seeds for each figure of loaded models.
const hotpathSeeds = 3

// Virtual times of a simulation.
const (
	warmUp      = 20 * time.Second
	overloadEnd = 80 * time.Second
)

// Deadlines of the three classes: outlooks, drafts and colour notes.
const (
	outlookDeadline = 2 * time.Second
	draftDeadline   = 4 * time.Second
	colourDeadline  = 8 * time.Second
)

// drafting returns the scenario of the larger upstream group: 12 replicas in three
// regions. offered is the load of each region, as a share of the whole capacity.
func drafting(seed uint64, offered ...float64) hotpath.Scenario {
	return hotpath.Scenario{
		Seed:    seed,
		WarmUp:  warmUp,
		End:     overloadEnd,
		VMs:     []int{4, 4, 4},
		Routers: 1,
		Offered: func(time.Duration) []float64 { return offered },
		Classes: []hotpath.Class{
			{Priority: 0, Share: 0.2, Deadline: outlookDeadline},
			{Priority: 1, Share: 0.4, Deadline: draftDeadline},
			{Priority: 2, Share: 0.4, Deadline: colourDeadline},
		},
		Concurrency:           8,
		ConfiguredConcurrency: 8,
		RunTime:               400 * time.Millisecond,
		Sigma:                 0.5,
		Idempotent:            0.8,
		ReportInterval:        250 * time.Millisecond,
		ReportLag:             250 * time.Millisecond,
	}
}

// variant is a named change of a scenario's policy.
type variant struct {
	name   string
	change func(*hotpath.Scenario)
}

// ours leaves the project's own policies unchanged.
var ours = variant{name: "ours", change: func(*hotpath.Scenario) {}}

// runSeeds runs a scenario with each seed and calls f with each result.
func runSeeds(base func(seed uint64) hotpath.Scenario, v variant, f func(*hotpath.Result)) {
	for seed := uint64(1); seed <= hotpathSeeds; seed++ {
		s := base(seed)
		v.change(&s)
		f(hotpath.Run(s))
	}
}
