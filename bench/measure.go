package main

import (
	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/internal/replay"
)

const (
	// seedCount is the number of seeds for each policy, starting at firstSeed.
	// Measurements use seeds from firstSeed on; seeds 1 to 5 are for development.
	seedCount = 5
	firstSeed = 11
	// replayDays is the length of a replay, and warmupDays the part at its start that
	// is not measured.
	replayDays = 17
	warmupDays = 3
	// parallelReplays is the maximum number of concurrent replays.
	parallelReplays = 3
)

// measure replays a deployment with each policy and each seed, and returns an
// outcome for each policy.
func measure(d replay.Deployment, policies []policy) []outcome {
	out := make([]outcome, len(policies))
	var g errgroup.Group
	g.SetLimit(parallelReplays)
	for i, p := range policies {
		out[i] = outcome{policy: p.name, seeds: make([]figures, seedCount)}
		for s := range seedCount {
			g.Go(func() error {
				r, err := replay.Run(replay.Options{
					Deployment: d, Policies: p.make, Seed: uint64(firstSeed + s), Days: replayDays, WarmupDays: warmupDays,
				})
				if err == nil {
					out[i].seeds[s] = figuresOf(r)
				}
				return err
			})
		}
	}
	must(0, g.Wait())
	for i := range out {
		out[i].mean = average(out[i].seeds)
	}
	return out
}
