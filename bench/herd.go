package main

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// herdLoad is the offered share of the capacity when herds are looked for.
const herdLoad = 0.8

type herdFigures struct {
	herd, goodput, p99, hits, attempts spread
}

func herdVariants() []variant {
	return []variant{
		ours,
		{"least reported", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.LeastReported }},
		{"random choice", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.Random }},
		{"round robin", func(s *hotpath.Scenario) { s.Policy.Route = hotpath.RoundRobin }},
		{"best of 3", func(s *hotpath.Scenario) { s.Policy.Choices = 3 }},
		{"best of all", func(s *hotpath.Scenario) { s.Policy.Choices = 100 }},
		{"own requests counted once", func(s *hotpath.Scenario) { s.Policy.Alone = true }},
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
	over(base, v, func(r *hotpath.Result) {
		f.herd.add(r.Herd())
		f.goodput.add(float64(r.Answered) / float64(r.Asked))
		f.p99.add(min(99, r.Quantile(0, 0.99).Seconds()))
		f.hits.add(r.HitRate())
		f.attempts.add(r.AttemptsPerRequest())
	})
	return f
}

// herdSection has several routers decide at once on reports that lag. A choice that
// uses reports must not do worse than one that does not.
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
	put := func(figure, target, format string, get func(herdFigures) spread, reached func(own, random spread) verdict) {
		var base []named
		for i, v := range variants[1:] {
			base = append(base, named{v.name, get(figures[i+1])})
		}
		own := get(figures[0])
		t.add(row{name, figure, target, baselineSpreads(format, base...), own.text(format), reached(own, base[1].spread)})
	}
	put("longest queue / mean queue", "<= random", "%.2f", func(f herdFigures) spread { return f.herd },
		func(own, random spread) verdict { return judge(own.most() <= random.most()) })
	put("answered in time", ">= random", "%.4f", func(f herdFigures) spread { return f.goodput },
		func(own, random spread) verdict { return judge(own.least() >= random.least()) })
	put("p99 of the top priority, s", "", "%.2f", func(f herdFigures) spread { return f.p99 },
		func(spread, spread) verdict { return info })
}

// prefixSection asks with prompt prefixes that do not all fit in one cache.
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
		put := func(figure, format string, get func(herdFigures) spread) {
			var base []named
			for i, v := range variants[1:] {
				base = append(base, named{v.name, get(figures[i+1])})
			}
			t.add(row{name, figure, "", baselineSpreads(format, base...), get(figures[0]).text(format), info})
		}
		put("hit rate", "%.3f", func(f herdFigures) spread { return f.hits })
		put("longest queue / mean queue", "%.2f", func(f herdFigures) spread { return f.herd })
		put("answered in time", "%.4f", func(f herdFigures) spread { return f.goodput })
		put("p99 of the top priority, s", "%.2f", func(f herdFigures) spread { return f.p99 })
	}
}
