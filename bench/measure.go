package main

import (
	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/internal/replay"
)

const (
	// seedCount is how many seeds each policy is replayed with, from firstSeed
	// on. The settings were chosen with seeds 1 to 5.
	seedCount = 5
	firstSeed = 11
	// replayDays is the length of a replay, and learnDays its part that is not
	// measured.
	replayDays = 17
	learnDays  = 3
	// parallelReplays bounds the replays that run at once.
	parallelReplays = 3
)

// measure replays a deployment with each policy and each seed.
func measure(d replay.Deployment, policies []policy) []outcome {
	out := make([]outcome, len(policies))
	var g errgroup.Group
	g.SetLimit(parallelReplays)
	for i, p := range policies {
		out[i] = outcome{policy: p.name, seeds: make([]figures, seedCount)}
		for s := range seedCount {
			g.Go(func() error {
				r, err := replay.Run(replay.Options{
					Deployment: d, Policies: p.make, Seed: uint64(firstSeed + s), Days: replayDays, WarmupDays: learnDays,
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
