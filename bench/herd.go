package main

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// herdLoad is the offered load, as a share of the capacity, of the measurements of
// herding and prefix routing.
const herdLoad = 0.8

type herdFigures struct {
	imbalance, goodput, p99, hits, attempts spread
}

func herdVariants() []variant {
	return []variant{
		ours,
		{"least reported", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.LeastReported }},
		{"random choice", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.Random }},
		{"round robin", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.RoundRobin }},
		{"best of 3", func(s *hotpath.Scenario) { s.Policy.Choices = 3 }},
		{"best of all", func(s *hotpath.Scenario) { s.Policy.Choices = 100 }},
		{"own requests counted once", func(s *hotpath.Scenario) { s.Policy.SingleRouter = true }},
	}
}

func measureHerd(v variant, routers int, lag time.Duration, prefixes, cached int) herdFigures {
	var f herdFigures
	base := func(seed uint64) hotpath.Scenario {
		s := drafting(seed, herdLoad/3, herdLoad/3, herdLoad/3)
		s.Routers, s.ReportLag = routers/len(s.VMs), lag
		s.Prefixes, s.Cached = prefixes, cached
		return s
	}
	runSeeds(base, v, func(r *hotpath.Result) {
		f.imbalance.add(r.QueueImbalance())
		f.goodput.add(float64(r.Answered) / float64(r.Requests))
		f.p99.add(min(99, r.Quantile(0, 0.99).Seconds()))
		f.hits.add(r.HitRate())
		f.attempts.add(r.AttemptsPerRequest())
	})
	return f
}

// herdSection measures herding: several routers choose at once from delayed
// reports. A choice that uses reports must not do worse than a random one.
func herdSection(t *table) {
	for _, routers := range []int{3, 24} {
		for _, lag := range []time.Duration{time.Second, 3 * time.Second} {
			herdRows(t, fmt.Sprintf("%d routers, reports %v late", routers, lag), routers, lag)
		}
	}
}

func herdRows(t *table, name string, routers int, lag time.Duration) {
	variants := herdVariants()
	figures := make([]herdFigures, 0, len(variants))
	for _, v := range variants {
		figures = append(figures, measureHerd(v, routers, lag, 0, 0))
	}
	addRow := func(figure, target, format string, get func(herdFigures) spread, reached func(own, random spread) verdict) {
		var base []named
		for i, v := range variants[1:] {
			base = append(base, named{v.name, get(figures[i+1])})
		}
		own := get(figures[0])
		t.add(row{name, figure, target, baselineSpreads(format, base...), own.text(format), reached(own, base[1].spread)})
	}
	addRow("longest queue / mean queue", "<= random", "%.2f", func(f herdFigures) spread { return f.imbalance },
		func(own, random spread) verdict { return verdictFor(own.highest() <= random.highest()) })
	addRow("answered in time", ">= random", "%.4f", func(f herdFigures) spread { return f.goodput },
		func(own, random spread) verdict { return verdictFor(own.lowest() >= random.lowest()) })
	addRow("p99 of the top priority, s", "", "%.2f", func(f herdFigures) spread { return f.p99 },
		func(spread, spread) verdict { return info })
}

// prefixSection sends requests with prompt prefixes that do not all fit in the cache
// of one VM.
func prefixSection(t *table) {
	const prefixes, cached = 400, 40
	variants := []variant{
		ours,
		{"random choice", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.Random }},
		{"bound 1.25 even of free places", func(s *hotpath.Scenario) { s.Policy.FreeShare = 0.001 }},
		{"0.75 of places free", func(s *hotpath.Scenario) { s.Policy.FreeShare = 0.75 }},
		{"bound 1.05", func(s *hotpath.Scenario) { s.Policy.LoadBound = 1.05 }},
		{"bound 2", func(s *hotpath.Scenario) { s.Policy.LoadBound = 2 }},
		{"no bound", func(s *hotpath.Scenario) { s.Policy.LoadBound = 1000 }},
	}
	for _, routers := range []int{3, 24} {
		figures := make([]herdFigures, 0, len(variants))
		for _, v := range variants {
			figures = append(figures, measureHerd(v, routers, time.Second, prefixes, cached))
		}
		name := fmt.Sprintf("prefixes, %d routers, reports 1s late", routers)
		addRow := func(figure, format string, get func(herdFigures) spread) {
			var base []named
			for i, v := range variants[1:] {
				base = append(base, named{v.name, get(figures[i+1])})
			}
			t.add(row{name, figure, "", baselineSpreads(format, base...), get(figures[0]).text(format), info})
		}
		addRow("hit rate", "%.3f", func(f herdFigures) spread { return f.hits })
		addRow("longest queue / mean queue", "%.2f", func(f herdFigures) spread { return f.imbalance })
		addRow("answered in time", "%.4f", func(f herdFigures) spread { return f.goodput })
		addRow("p99 of the top priority, s", "%.2f", func(f herdFigures) spread { return f.p99 })
	}
}
