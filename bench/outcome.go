package main

import (
	"slices"

	"github.com/laureltally/laureltally/internal/replay"
)

// outcome holds the figures of one policy, for each seed and their mean.
type outcome struct {
	policy string
	seeds  []figures
	mean   figures
}

// figures holds the figures of one replay. Times are in seconds.
type figures struct {
	p99, coldP50, coldP99, mean, coldShare, idleHours, loads, refusals, adapterLoads float64
}

func figuresOf(r *replay.Result) figures {
	return figures{
		p99:          r.Quantile(0.99).Seconds(),
		coldP50:      r.ColdQuantile(0.5).Seconds(),
		coldP99:      r.ColdQuantile(0.99).Seconds(),
		mean:         r.Mean().Seconds(),
		coldShare:    r.ColdShare(),
		idleHours:    r.IdleHours,
		loads:        float64(r.Loads),
		refusals:     float64(r.Refusals),
		adapterLoads: float64(r.AdapterLoads),
	}
}

// average returns the mean of each figure.
func average(all []figures) figures {
	var sum figures
	n := float64(len(all))
	for _, f := range all {
		sum.p99 += f.p99 / n
		sum.coldP50 += f.coldP50 / n
		sum.coldP99 += f.coldP99 / n
		sum.mean += f.mean / n
		sum.coldShare += f.coldShare / n
		sum.idleHours += f.idleHours / n
		sum.loads += f.loads / n
		sum.refusals += f.refusals / n
		sum.adapterLoads += f.adapterLoads / n
	}
	return sum
}

// spread returns the lowest and the highest value of a figure over the seeds.
func (o outcome) spread(of func(figures) float64) (low, high float64) {
	values := make([]float64, len(o.seeds))
	for i, f := range o.seeds {
		values[i] = of(f)
	}
	return slices.Min(values), slices.Max(values)
}
