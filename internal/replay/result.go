package replay

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Result is the figures of one replay.
type Result struct {
	// Cold holds the cold-start time of each request, zero for one that met a
	// loaded model, and the full time to the deadline for one that was refused.
	Cold []time.Duration
	// ByPriority holds the same for each priority.
	ByPriority map[ident.Priority][]time.Duration
	// IdleHours is the time that replicas held memory and served nothing, load
	// time included, weighed by their share of an accelerator, in hours.
	IdleHours    float64
	Loads        int
	Evictions    int
	Refusals     int
	Prewarms     int
	PrewarmHits  int
	Stages       int
	AdapterLoads int
	GateErrors   int
	// Tiers counts the loads by tier, from the first day on.
	Tiers  map[engine.Tier]int
	sorted bool
}

// Quantile returns the cold-start time at a quantile over all requests.
func (r *Result) Quantile(q float64) time.Duration {
	r.sort()
	return at(r.Cold, q)
}

// PriorityQuantile returns the cold-start time at a quantile over the requests
// of a priority.
func (r *Result) PriorityQuantile(p ident.Priority, q float64) time.Duration {
	sorted := slices.Clone(r.ByPriority[p])
	slices.Sort(sorted)
	return at(sorted, q)
}

// Mean returns the mean cold-start time over all requests.
func (r *Result) Mean() time.Duration {
	var sum time.Duration
	for _, c := range r.Cold {
		sum += c
	}
	return sum / time.Duration(max(1, len(r.Cold)))
}

// ColdQuantile returns the cold-start time at a quantile over the requests that
// met a model that was not loaded.
func (r *Result) ColdQuantile(q float64) time.Duration {
	r.sort()
	i, _ := slices.BinarySearch(r.Cold, 1)
	return at(r.Cold[i:], q)
}

// ColdShare returns the share of requests that met a model that was not loaded.
func (r *Result) ColdShare() float64 {
	r.sort()
	i, _ := slices.BinarySearch(r.Cold, 1)
	return float64(len(r.Cold)-i) / float64(max(1, len(r.Cold)))
}

func (r *Result) sort() {
	if !r.sorted {
		slices.Sort(r.Cold)
		r.sorted = true
	}
}

// at returns the value at a quantile of sorted values.
func at(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
