package main

import (
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// hotSeeds is how many seeds each figure of loaded models is measured with.
const hotSeeds = 3

// seconds of virtual time.
const (
	warmUp      = 20 * time.Second
	overloadEnd = 80 * time.Second
)

// deadlines of the three classes: outlooks, drafts and colour notes.
const (
	outlookDeadline = 2 * time.Second
	draftDeadline   = 4 * time.Second
	colourDeadline  = 8 * time.Second
)

// drafting is the brief's larger upstream group: 12 replicas in three regions.
func drafting(seed uint64, offered ...float64) hotpath.Scenario {
	return hotpath.Scenario{
		Seed:    seed,
		Warm:    warmUp,
		End:     overloadEnd,
		VMs:     []int{4, 4, 4},
		Routers: 1,
		Offered: func(time.Duration) []float64 { return offered },
		Classes: []hotpath.Class{
			{Priority: 0, Share: 0.2, Deadline: outlookDeadline},
			{Priority: 1, Share: 0.4, Deadline: draftDeadline},
			{Priority: 2, Share: 0.4, Deadline: colourDeadline},
		},
		Places:      8,
		Stated:      8,
		Service:     400 * time.Millisecond,
		Sigma:       0.5,
		Idempotent:  0.8,
		ReportEvery: 250 * time.Millisecond,
		ReportLag:   250 * time.Millisecond,
	}
}

// variant is a named change of a scenario.
type variant struct {
	name   string
	change func(*hotpath.Scenario)
}

// ours is the project's own decisions.
var ours = variant{name: "ours", change: func(*hotpath.Scenario) {}}

// over replays a scenario with each seed and calls f with each result.
func over(base func(seed uint64) hotpath.Scenario, v variant, f func(*hotpath.Result)) {
	for seed := uint64(1); seed <= hotSeeds; seed++ {
		s := base(seed)
		v.change(&s)
		f(hotpath.Run(s))
	}
}
