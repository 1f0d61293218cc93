package main

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/bench/hotpath"
)

// Times and sizes of a burst whose refused clients come back when they are told.
const (
	burstFrom   = 30 * time.Second
	burstUntil  = 40 * time.Second
	comebackEnd = 140 * time.Second
	usualLoad   = 0.5
	burstLoad   = 3.0
	comebacks   = 4
)

// Targets for those who come back.
const (
	minServedAtFirst = 0.9
	maxWave          = 2.0
)

func refusedBurst(seed uint64) hotpath.Scenario {
	s := drafting(seed)
	s.End = comebackEnd
	s.Comebacks = comebacks
	s.Offered = func(at time.Duration) []float64 {
		load := usualLoad / 3
		if at >= burstFrom && at < burstUntil {
			load = burstLoad / 3
		}
		return []float64{load, load, load}
	}
	return s
}

// comebackSection tells whether Retry-After is true: whoever comes back then is
// served, and they do not all come at once.
func comebackSection(t *table) {
	type figures struct{ first, wave, refused spread }
	measure := func(v variant) figures {
		var f figures
		over(refusedBurst, v, func(r *hotpath.Result) {
			f.first.add(1 - float64(r.CameBack[2])/float64(max(1, r.CameBack[1])))
			f.wave.add(wave(r))
			f.refused.add(float64(hotpath.Between(r.RefusedPerSecond, burstUntil, comebackEnd)))
		})
		return f
	}
	own := measure(ours)
	names := []variant{
		{"always 1 s", func(s *hotpath.Scenario) { s.Policy.FixedRetryAfter = time.Second }},
		{"always 10 s", func(s *hotpath.Scenario) { s.Policy.FixedRetryAfter = 10 * time.Second }},
	}
	var base []figures
	for _, v := range names {
		base = append(base, measure(v))
	}
	put := func(figure, target, format string, get func(figures) spread, reached func(spread) verdict) {
		var all []named
		for i, v := range names {
			all = append(all, named{v.name, get(base[i])})
		}
		t.add(row{"burst of 3x for 10 s, refused come back", figure, target, baselineSpreads(format, all...), get(own).text(format), reached(get(own))})
	}
	put("served at the first return", ">= 0.9", "%.3f", func(f figures) spread { return f.first },
		func(s spread) verdict { return judge(s.least() >= minServedAtFirst) })
	put("busiest second after the burst / capacity", "<= 2", "%.2f", func(f figures) spread { return f.wave },
		func(s spread) verdict { return judge(s.most() <= maxWave) })
	put("refusals after the burst", "", "%.0f", func(f figures) spread { return f.refused },
		func(spread) verdict { return info })
}

// wave is the most arrivals in a second after the burst over the capacity.
func wave(r *hotpath.Result) float64 {
	const capacity = 12 * 20
	after := r.AskedPerSecond[burstUntil/time.Second+1 : comebackEnd/time.Second]
	return float64(slices.Max(after)) / capacity
}
