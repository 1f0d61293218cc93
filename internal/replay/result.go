package replay

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Result holds the figures of one replay.
type Result struct {
	// Cold holds the cold-start time of each request: zero if the model was
	// loaded, and the time from arrival to deadline if the request was refused.
	Cold []time.Duration
	// ByPriority holds the same for each priority.
	ByPriority map[ident.Priority][]time.Duration
	// IdleHours is the time in hours that replicas held memory without serving a
	// request, load time included, weighted by their share of an accelerator.
	IdleHours float64
	Loads     int
	Evictions int
	Refusals  int
	// Prewarms and Stages count the loads that the policy's Prewarm and Stage
	// selected and that were started. PrewarmHits counts the replicas of both
	// kinds that a request met loaded, also in the first WarmupDays days.
	Prewarms      int
	PrewarmHits   int
	Stages        int
	AdapterLoads  int
	LimiterErrors int
	// Tiers counts the loads by tier, including those of the first WarmupDays days.
	Tiers  map[engine.Tier]int
	sorted bool
}

// Quantile returns the q-quantile of the cold-start time over all requests.
func (r *Result) Quantile(q float64) time.Duration {
	r.sort()
	return sortedQuantile(r.Cold, q)
}

// PriorityQuantile returns the q-quantile of the cold-start time over the requests
// of a priority.
func (r *Result) PriorityQuantile(p ident.Priority, q float64) time.Duration {
	sorted := slices.Clone(r.ByPriority[p])
	slices.Sort(sorted)
	return sortedQuantile(sorted, q)
}

// Mean returns the mean cold-start time over all requests.
func (r *Result) Mean() time.Duration {
	var sum time.Duration
	for _, c := range r.Cold {
		sum += c
	}
	return sum / time.Duration(max(1, len(r.Cold)))
}

// ColdQuantile returns the q-quantile of the cold-start time over the requests whose
// model was not loaded and the refused ones.
func (r *Result) ColdQuantile(q float64) time.Duration {
	r.sort()
	i, _ := slices.BinarySearch(r.Cold, 1)
	return sortedQuantile(r.Cold[i:], q)
}

// ColdShare returns the share of requests whose model was not loaded or that were
// refused.
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

// sortedQuantile returns the q-quantile of sorted values, zero if there are none.
func sortedQuantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
