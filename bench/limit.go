package main

import (
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// Times of the search for the concurrency limit.
const (
	limitEnd    = 600 * time.Second
	limitSettle = 300 * time.Second
)

// limitSection compares the adaptive concurrency limit with a fixed one: with a
// configured concurrency twice the real one, with the right one, and with some VMs
// slowed down.
func limitSection(t *table) {
	fixed := func(s *hotpath.Scenario) { s.Policy.FixedLimit = true }
	limitRow(t, "concurrency stated twice too high", fixed, func(s *hotpath.Scenario) { s.ConfiguredConcurrency = 16 })
	limitRow(t, "concurrency stated right", fixed, func(*hotpath.Scenario) {})
	limitRow(t, "3 of 12 VMs three times slower", fixed, func(s *hotpath.Scenario) {
		s.Slowdown = &hotpath.Slowdown{From: limitSettle, Until: limitEnd, VMs: []int{0, 4, 8}, Factor: 3}
	})
}

func limitRow(t *table, name string, fixed, change func(*hotpath.Scenario)) {
	measure := func(v func(*hotpath.Scenario)) (goodput, late spread) {
		base := func(seed uint64) hotpath.Scenario {
			s := drafting(seed, 2.0/3, 2.0/3, 2.0/3)
			s.End = limitEnd
			change(&s)
			return s
		}
		runSeeds(base, variant{change: v}, func(r *hotpath.Result) {
			goodput.add(r.Goodput(limitSettle, limitEnd, 12))
			late.add(float64(r.Late))
		})
		return goodput, late
	}
	own, ownLate := measure(ours.change)
	base, baseLate := measure(fixed)
	t.add(row{name, "goodput / capacity, 300 to 600 s, 2x offered", "", baselineSpreads("%.3f", named{"fixed limit", base}), own.text("%.3f"), info})
	t.add(row{name, "answers after their deadline", "0", baselineSpreads("%.0f", named{"fixed limit", baseLate}), ownLate.text("%.0f"), verdictFor(ownLate.highest() == 0)})
}
