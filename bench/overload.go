package main

import (
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// Targets at an offered load of twice the capacity.
const (
	minGoodput = 0.95
	minJain    = 0.95
)

// overloadFigures holds the figures of the overload section.
type overloadFigures struct {
	goodput, p99, late, jain, aborted, attempts, crossRegion spread
}

// overloadVariants returns the project's own policies and the baselines.
func overloadVariants() []variant {
	return []variant{
		ours,
		{"FIFO, round robin", func(s *hotpath.Scenario) {
			s.Policy = hotpath.Policy{Queue: hotpath.FIFO, Route: hotpath.RoundRobin}
		}},
		{"random choice", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.Random }},
		{"fixed limit", func(s *hotpath.Scenario) { s.Policy.FixedLimit = true }},
		{"3 retries", func(s *hotpath.Scenario) { s.Policy.Retry = hotpath.ThreeRetries }},
		{"strict priority", func(s *hotpath.Scenario) { s.Policy.PriorityLag = time.Hour }},
	}
}

func measureOverload(v variant, offered ...float64) overloadFigures {
	var f overloadFigures
	base := func(seed uint64) hotpath.Scenario { return drafting(seed, offered...) }
	runSeeds(base, v, func(r *hotpath.Result) {
		f.goodput.add(r.Goodput(warmUp, overloadEnd, 12))
		f.p99.add(min(99, r.Quantile(0, 0.99).Seconds()))
		f.late.add(float64(r.Late))
		f.jain.add(r.Jain())
		f.aborted.add(float64(r.Aborted))
		f.attempts.add(r.AttemptsPerRequest())
		f.crossRegion.add(float64(r.CrossRegionAttempts) / float64(r.Attempts))
	})
	return f
}

// overloadSection offers twice the capacity, most of it from one region.
func overloadSection(t *table) {
	variants := overloadVariants()
	figures := make([]overloadFigures, 0, len(variants))
	for _, v := range variants {
		figures = append(figures, measureOverload(v, 1.2, 0.4, 0.4))
	}
	pick := func(get func(overloadFigures) spread) (spread, []named) {
		var base []named
		for i, v := range variants[1:] {
			base = append(base, named{v.name, get(figures[i+1])})
		}
		return get(figures[0]), base
	}
	addRow := func(figure, target, format string, get func(overloadFigures) spread, reached func(spread) verdict) {
		own, base := pick(get)
		t.add(row{"overload 2x", figure, target, baselineSpreads(format, base...), own.text(format), reached(own)})
	}
	addRow("goodput / capacity", ">= 0.95", "%.3f", func(f overloadFigures) spread { return f.goodput },
		func(s spread) verdict { return verdictFor(s.lowest() >= minGoodput) })
	addRow("p99 of the top priority, s (99: not answered)", "<= 2", "%.2f", func(f overloadFigures) spread { return f.p99 },
		func(s spread) verdict { return verdictFor(s.highest() <= outlookDeadline.Seconds()) })
	addRow("answers after their deadline", "0", "%.0f", func(f overloadFigures) spread { return f.late },
		func(s spread) verdict { return verdictFor(s.highest() == 0) })
	addRow("Jain index over regions", ">= 0.95", "%.3f", func(f overloadFigures) spread { return f.jain },
		func(s spread) verdict { return verdictFor(s.lowest() >= minJain) })
	addRow("attempts for each request", "<= 1.1", "%.3f", func(f overloadFigures) spread { return f.attempts },
		func(s spread) verdict { return verdictFor(s.highest() <= maxAttempts) })
	addRow("runs cut at their deadline", "", "%.0f", func(f overloadFigures) spread { return f.aborted },
		func(spread) verdict { return info })
	addRow("share of attempts that cross regions", "", "%.3f", func(f overloadFigures) spread { return f.crossRegion },
		func(spread) verdict { return info })
}
