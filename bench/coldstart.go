package main

import (
	"fmt"

	"github.com/laureltally/laureltally/internal/replay"
)

const (
	// minReduction is the share by which a figure has to be lower than a baseline's.
	minReduction = 0.30
	// percent converts a share to percent.
	percent = 100
)

// muotiennuste compares the tail cold-start time at no more idle hours than a
// baseline.
func muotiennuste(t *table) {
	d := replay.Muotiennuste()
	base, ours := measure(d, idlePolicies()), measure(d, tradeOffPolicies())
	for _, b := range base {
		best, ok := lowest(ours, func(f figures) float64 { return f.p99 }, func(f figures) bool {
			return f.idleHours <= b.mean.idleHours
		})
		t.add(compare(d.Name, "p99 cold start, s, at no more idle hours than "+b.policy, b, best, ok,
			func(f figures) float64 { return f.p99 }))
	}
	addAllFigures(t, d, base)
}

// nordfjell compares the idle hours at no worse tail cold-start time than a
// baseline.
func nordfjell(t *table) {
	d := replay.Nordfjell()
	base, ours := measure(d, idlePolicies()), measure(d, tradeOffPolicies())
	hours := func(f figures) float64 { return f.idleHours }
	for _, b := range base {
		best, ok := lowest(ours, hours, func(f figures) bool { return f.p99 <= b.mean.p99 })
		t.add(compare(d.Name, "idle hours at no worse p99 than "+b.policy, b, best, ok, hours))
	}
	for _, b := range base {
		best, ok := lowest(ours, hours, func(f figures) bool {
			return f.p99 <= b.mean.p99 && f.mean <= b.mean.mean
		})
		t.add(compare(d.Name, "idle hours at no worse p99 and mean than "+b.policy, b, best, ok, hours))
	}
	addAllFigures(t, d, base)
}

// memoryless compares the mean cold-start time for arrivals that past requests do
// not predict.
func memoryless(t *table) {
	d := replay.Memoryless()
	base, ours := measure(d, idlePolicies()), measure(d, tradeOffPolicies())
	for _, b := range base {
		f, ok := interpolate(ours, b.mean.idleHours)
		r := row{
			Section: d.Name, Figure: "mean cold start, s, at no more idle hours than " + b.policy,
			Target: "no worse", Baseline: fmt.Sprintf("%.2f at %.0f h", b.mean.mean, b.mean.idleHours),
			Ours: "not reached", Verdict: missed,
		}
		if ok {
			r.Ours, r.Verdict = fmt.Sprintf("%.2f", f), verdictFor(f <= b.mean.mean)
		}
		t.add(r)
	}
}

// lowest returns the accepted outcome with the lowest figure, and whether there is
// one.
func lowest(all []outcome, of func(figures) float64, accept func(figures) bool) (outcome, bool) {
	var best outcome
	found := false
	for _, o := range all {
		if accept(o.mean) && (!found || of(o.mean) < of(best.mean)) {
			best, found = o, true
		}
	}
	return best, found
}

// interpolate returns the mean cold-start time at the given idle hours, linear
// between the two nearest outcomes; all is ordered by idle hours. Above the idle
// hours of the last outcome it returns the time of that outcome; below those of
// the first it returns false.
func interpolate(all []outcome, hours float64) (float64, bool) {
	for i := 1; i < len(all); i++ {
		a, b := all[i-1].mean, all[i].mean
		if a.idleHours <= hours && hours <= b.idleHours {
			part := (hours - a.idleHours) / (b.idleHours - a.idleHours)
			return a.mean + part*(b.mean-a.mean), true
		}
	}
	last := all[len(all)-1].mean
	return last.mean, last.idleHours <= hours
}

// compare returns the row of a figure that has to be lower than a baseline's by
// minReduction.
func compare(section, figure string, base, ours outcome, ok bool, of func(figures) float64) row {
	r := row{
		Section: section, Figure: figure, Target: fmt.Sprintf("-%.0f%%", minReduction*percent),
		Baseline: describe(base, of), Ours: "not reached", Verdict: missed,
	}
	if !ok {
		return r
	}
	reduction := 1 - of(ours.mean)/of(base.mean)
	r.Ours = fmt.Sprintf("%.0f%%: %s", -reduction*percent, describe(ours, of))
	r.Verdict = verdictFor(reduction >= minReduction)
	return r
}

// describe formats a figure with its range over the seeds and the other figures of
// the outcome.
func describe(o outcome, of func(figures) float64) string {
	low, high := o.spread(of)
	return fmt.Sprintf("%.1f [%.1f..%.1f] (%.0f h, p99 %.1f s, mean %.2f s, cold %.0f%%)",
		of(o.mean), low, high, o.mean.idleHours, o.mean.p99, o.mean.mean, o.mean.coldShare*percent)
}

// addAllFigures adds the figures of all baselines and of the history policy with
// the deployment's objective.
func addAllFigures(t *table, d replay.Deployment, base []outcome) {
	ours := measure(d, []policy{historyPolicy("ours at the aim", 0, d.Aim)})
	for _, o := range append(base, ours...) {
		m := o.mean
		t.add(row{
			Section: d.Name, Figure: "all figures", Target: "-", Baseline: o.policy,
			Ours: fmt.Sprintf("p99 %.1f s, of cold ones p50 %.1f p99 %.1f s, mean %.2f s, cold %.1f%%, idle %.0f h, loads %.0f, refused %.1f, adapter loads %.0f",
				m.p99, m.coldP50, m.coldP99, m.mean, m.coldShare*percent, m.idleHours, m.loads, m.refusals, m.adapterLoads),
			Verdict: info,
		})
	}
}
