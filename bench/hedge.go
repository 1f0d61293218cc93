package main

import (
	"fmt"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// hedgeSection slows down one VM of 12 and compares figures with and without hedging
// of slow idempotent requests.
func hedgeSection(t *table) {
	for _, load := range []float64{0.3, 0.6, 2} {
		hedgeRows(t, load)
	}
}

func hedgeRows(t *table, load float64) {
	measure := func(hedging bool) (p99, attempts, answered spread) {
		base := func(seed uint64) hotpath.Scenario {
			s := drafting(seed, load/3, load/3, load/3)
			s.Idempotent = 1
			s.Policy.Hedging = hedging
			s.Slowdown = &hotpath.Slowdown{From: warmUp, Until: overloadEnd, VMs: []int{0}, Factor: 3}
			return s
		}
		runSeeds(base, ours, func(r *hotpath.Result) {
			p99.add(min(99, r.Quantile(0, 0.99).Seconds()))
			attempts.add(r.AttemptsPerRequest())
			answered.add(float64(r.Answered) / float64(r.Requests))
		})
		return p99, attempts, answered
	}
	p99Without, attemptsWithout, answeredWithout := measure(false)
	p99With, attemptsWith, answered := measure(true)
	name := fmt.Sprintf("hedging, a VM of 12 three times slower, %.1f offered", load)
	addRow := func(figure, target, format string, base, own spread, v verdict) {
		t.add(row{name, figure, target, baselineSpreads(format, named{"not hedged", base}), own.text(format), v})
	}
	addRow("p99 of the top priority, s", "", "%.2f", p99Without, p99With, info)
	addRow("answered in time", "", "%.4f", answeredWithout, answered, info)
	addRow("attempts for each request", "<= 1.1", "%.3f", attemptsWithout, attemptsWith, verdictFor(attemptsWith.highest() <= maxAttempts))
}
