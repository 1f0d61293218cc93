package main

import (
	"fmt"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/internal/replay"
)

const (
	// stallShare is the probability that a load stalls.
	stallShare = 0.03
	// slowStore is the factor by which loads from a slow store take longer.
	slowStore = 10
)

// loadFaults measures stalled loads, and a store at a tenth of its speed, with the
// objective of the Muotiennuste deployment.
func loadFaults(t *table) {
	withoutReroute := replayAll(replay.Options{StallShare: stallShare, NoReroute: true})
	withReroute := replayAll(replay.Options{StallShare: stallShare})
	t.add(faultRow("3% of loads stall: p99 of cold ones, s", "kept at the load", withoutReroute, withReroute, func(r *replay.Result) float64 {
		return r.ColdQuantile(0.99).Seconds()
	}))
	t.add(faultRow("3% of loads stall: refused", "kept at the load", withoutReroute, withReroute, func(r *replay.Result) float64 {
		return float64(r.Refusals)
	}))
	unlimited := replayAll(replay.Options{Slowdown: slowStore, NoLoadLimit: true})
	limited := replayAll(replay.Options{Slowdown: slowStore})
	for p := range ident.Priority(3) {
		figure := fmt.Sprintf("store at a tenth: p99, s, priority %d", p)
		r := faultRow(figure, "no gate", unlimited, limited, func(r *replay.Result) float64 {
			return r.PriorityQuantile(p, 0.99).Seconds()
		})
		if p > 0 {
			r.Target, r.Verdict = "-", info
		}
		t.add(r)
	}
	t.add(faultRow("store at a tenth: refused", "no gate", unlimited, limited, func(r *replay.Result) float64 {
		return float64(r.Refusals)
	}))
}

// replayAll replays Muotiennuste with all seeds.
func replayAll(o replay.Options) []*replay.Result {
	out := make([]*replay.Result, seedCount)
	for s := range out {
		o.Deployment = replay.Muotiennuste()
		o.Policies = historyPolicy("ours", 0, config.Aim{ColdStart: 2, IdleHours: 1}).make
		o.Seed, o.Days, o.WarmupDays = uint64(firstSeed+s), replayDays, warmupDays
		out[s] = must(replay.Run(o))
	}
	return out
}

// faultRow returns the row that compares the mean of a figure over the seeds.
func faultRow(figure, other string, base, ours []*replay.Result, of func(*replay.Result) float64) row {
	mean := func(all []*replay.Result) float64 {
		sum := 0.0
		for _, r := range all {
			sum += of(r) / float64(len(all))
		}
		return sum
	}
	b, o := mean(base), mean(ours)
	return row{
		Section: "load faults", Figure: figure, Target: "lower",
		Baseline: fmt.Sprintf("%s %.1f", other, b), Ours: fmt.Sprintf("%.1f", o), Verdict: verdictFor(o < b),
	}
}
