package main

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// Times and loads of a burst whose refused clients retry after Retry-After.
const (
	burstFrom        = 30 * time.Second
	burstUntil       = 40 * time.Second
	retryAfterEnd    = 140 * time.Second
	baseLoad         = 0.5
	burstLoad        = 3.0
	maxClientRetries = 4
)

// Targets of the client retries.
const (
	minServedAtFirstRetry = 0.9
	maxPeakAfterBurst     = 2.0
)

func burstScenario(seed uint64) hotpath.Scenario {
	s := drafting(seed)
	s.End = retryAfterEnd
	s.MaxClientRetries = maxClientRetries
	s.Offered = func(at time.Duration) []float64 {
		load := baseLoad / 3
		if at >= burstFrom && at < burstUntil {
			load = burstLoad / 3
		}
		return []float64{load, load, load}
	}
	return s
}

// retryAfterSection measures whether clients that retry after Retry-After are
// served, and whether their retries are spread over time.
func retryAfterSection(t *table) {
	type figures struct{ servedAtFirstRetry, peakAfterBurst, refused spread }
	measure := func(v variant) figures {
		var f figures
		runSeeds(burstScenario, v, func(r *hotpath.Result) {
			f.servedAtFirstRetry.add(1 - float64(r.ClientRetries[2])/float64(max(1, r.ClientRetries[1])))
			f.peakAfterBurst.add(peakAfterBurst(r))
			f.refused.add(float64(hotpath.SumBetween(r.RefusedPerSecond, burstUntil, retryAfterEnd)))
		})
		return f
	}
	own := measure(ours)
	baselines := []variant{
		{"always 1 s", func(s *hotpath.Scenario) { s.Policy.FixedRetryAfter = time.Second }},
		{"always 10 s", func(s *hotpath.Scenario) { s.Policy.FixedRetryAfter = 10 * time.Second }},
	}
	var base []figures
	for _, v := range baselines {
		base = append(base, measure(v))
	}
	addRow := func(figure, target, format string, get func(figures) spread, reached func(spread) verdict) {
		var all []named
		for i, v := range baselines {
			all = append(all, named{v.name, get(base[i])})
		}
		t.add(row{"burst of 3x for 10 s, refused come back", figure, target, baselineSpreads(format, all...), get(own).text(format), reached(get(own))})
	}
	addRow("served at the first return", ">= 0.9", "%.3f", func(f figures) spread { return f.servedAtFirstRetry },
		func(s spread) verdict { return verdictFor(s.lowest() >= minServedAtFirstRetry) })
	addRow("busiest second after the burst / capacity", "<= 2", "%.2f", func(f figures) spread { return f.peakAfterBurst },
		func(s spread) verdict { return verdictFor(s.highest() <= maxPeakAfterBurst) })
	addRow("refusals after the burst", "", "%.0f", func(f figures) spread { return f.refused },
		func(spread) verdict { return info })
}

// peakAfterBurst returns the highest number of arrivals in a second after the burst
// over the capacity.
func peakAfterBurst(r *hotpath.Result) float64 {
	const capacity = 12 * 20
	after := r.RequestsPerSecond[burstUntil/time.Second+1 : retryAfterEnd/time.Second]
	return float64(slices.Max(after)) / capacity
}
