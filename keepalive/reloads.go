package keepalive

import "time"

const (
	// reloadGain is the weight of a new load in the running mean of its span.
	reloadGain = 0.1
	// reloadWeight is how many loads the estimate over all spans counts for.
	reloadWeight = 3
	// maxReloads bounds the loads of a span that are counted.
	maxReloads = 1000
)

// reloads estimates, for each span of idle time, how long a load takes that
// ends it, in seconds for a whole accelerator's memory. Weights that were not
// used for long have left the near caches.
type reloads struct {
	spans [spanCount]mean
	all   mean
}

// mean is a running mean.
type mean struct {
	value float64
	seen  int
}

// add moves the mean towards a value.
func (m *mean) add(v float64) {
	m.seen = min(m.seen+1, maxReloads)
	m.value += max(reloadGain, 1/float64(m.seen)) * (v - m.value)
}

// observe records a load.
func (r *reloads) observe(span int, share float64, took time.Duration) {
	if share <= 0 {
		return
	}
	v := took.Seconds() / share
	r.spans[span].add(v)
	r.all.add(v)
}

// estimate returns the load time of a key after an idle time, in seconds.
func (r *reloads) estimate(span int, share, unknown float64) float64 {
	general := unknown
	if r.all.seen > 0 {
		general = r.all.value * share
	}
	s := r.spans[span]
	n := float64(s.seen)
	return (n*s.value*share + reloadWeight*general) / (n + reloadWeight)
}
