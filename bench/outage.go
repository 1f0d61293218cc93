package main

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// Targets of the outage section.
const (
	maxAttempts    = 1.1
	maxRecovery    = 10 * time.Second
	recoveredShare = 0.95
	settledShare   = 0.95
)

// Times of the outage. The weight store runs at a tenth of its speed, so that a
// load of 3 s takes 30 s.
const (
	outageFrom  = 50 * time.Second
	outageUntil = 100 * time.Second
	outageEnd   = 200 * time.Second
	slowLoad    = 30 * time.Second
)

// attemptsWindow is the time after the start of the outage in which attempts are
// counted.
const attemptsWindow = 10 * time.Second

type outageFigures struct {
	attempts, recovery, returned, unknown spread
}

func outageVariants() []variant {
	return []variant{
		ours,
		{"3 retries, no ejection", func(s *hotpath.Scenario) {
			s.Policy = hotpath.Policy{Retry: hotpath.ThreeRetries, NoEjection: true}
		}},
		{"FIFO, round robin, 3 retries", func(s *hotpath.Scenario) {
			s.Policy = hotpath.Policy{Queue: hotpath.FIFO, Route: hotpath.RoundRobin, Retry: hotpath.ThreeRetries, NoEjection: true}
		}},
	}
}

// outageScenario returns a scenario in which the given VMs fail. load is the
// offered load as a share of the whole capacity.
func outageScenario(vms []int, load float64) func(uint64) hotpath.Scenario {
	return func(seed uint64) hotpath.Scenario {
		s := drafting(seed, load/3, load/3, load/3)
		s.End = outageEnd
		s.Outage = &hotpath.Outage{From: outageFrom, Until: outageUntil, VMs: vms, LoadTime: slowLoad}
		return s
	}
}

func measureOutage(v variant, vms []int, load float64) outageFigures {
	var f outageFigures
	const all, perVM = 12, 20
	runSeeds(outageScenario(vms, load), v, func(r *hotpath.Result) {
		requests := hotpath.SumBetween(r.RequestsPerSecond, outageFrom, outageFrom+attemptsWindow)
		sentAttempts := hotpath.SumBetween(r.AttemptsPerSecond, outageFrom, outageFrom+attemptsWindow)
		f.attempts.add(float64(sentAttempts) / float64(requests))
		offered := perSecond(r.RequestsPerSecond, outageFrom, outageUntil)
		remaining := float64(perVM * (all - len(vms)))
		f.recovery.add(r.Recovery(outageFrom, outageUntil, min(offered, remaining), recoveredShare).Seconds())
		restored := outageUntil + slowLoad
		offered = perSecond(r.RequestsPerSecond, restored, outageEnd)
		f.returned.add(r.Recovery(restored, outageEnd, min(offered, all*perVM), settledShare).Seconds())
		f.unknown.add(float64(r.Codes["unknown upstream_lost"]))
	})
	return f
}

func perSecond(counts []int, from, until time.Duration) float64 {
	return float64(hotpath.SumBetween(counts, from, until)) / (until - from).Seconds()
}

// outageSection measures the outage of a VM and of a region.
func outageSection(t *table) {
	for _, c := range []struct {
		name string
		vms  []int
		load float64
	}{
		{"a VM of 12 lost, 0.6 offered", []int{0}, 0.6},
		{"a VM of 12 lost, 0.9 offered", []int{0}, 0.9},
		{"a region of 3 lost, 0.6 offered", []int{0, 1, 2, 3}, 0.6},
		{"a region of 3 lost, 0.9 offered", []int{0, 1, 2, 3}, 0.9},
	} {
		outageRows(t, c.name, c.vms, c.load)
	}
}

func outageRows(t *table, name string, vms []int, load float64) {
	variants := outageVariants()
	figures := make([]outageFigures, 0, len(variants))
	for _, v := range variants {
		figures = append(figures, measureOutage(v, vms, load))
	}
	addRow := func(figure, target, format string, get func(outageFigures) spread, reached func(spread) verdict) {
		var base []named
		for i, v := range variants[1:] {
			base = append(base, named{v.name, get(figures[i+1])})
		}
		own := get(figures[0])
		t.add(row{name, figure, target, baselineSpreads(format, base...), own.text(format), reached(own)})
	}
	addRow("attempts for each request, first 10 s", "<= 1.1", "%.3f", func(f outageFigures) spread { return f.attempts },
		func(s spread) verdict { return verdictFor(s.highest() <= maxAttempts) })
	addRow("back to 95% of what is left, s", "<= 10", "%.0f", func(f outageFigures) spread { return f.recovery },
		func(s spread) verdict { return verdictFor(s.highest() <= maxRecovery.Seconds()) })
	addRow(fmt.Sprintf("back to 95%% of all after the return, s (loads of %v)", slowLoad), "<= 10", "%.0f", func(f outageFigures) spread { return f.returned },
		func(s spread) verdict { return verdictFor(s.highest() <= maxRecovery.Seconds()) })
	addRow("requests that may have run and gave no answer", "", "%.0f", func(f outageFigures) spread { return f.unknown },
		func(spread) verdict { return info })
}
