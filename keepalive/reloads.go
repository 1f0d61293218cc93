package keepalive

import "time"

const (
	// reloadSmoothing is the weight of a new load in the moving average of its
	// span.
	reloadSmoothing = 0.1
	// pooledReloadWeight is the weight of the estimate over all spans, in loads.
	pooledReloadWeight = 3
	// maxReloads bounds the counted loads of a span.
	maxReloads = 1000
)

// reloads estimates, for each span of idle time, the duration of the load that
// follows it, in seconds for a model that fills a whole accelerator. Loads after
// a long idle time take longer, since the weights have left the near caches.
type reloads struct {
	spans [spanCount]mean
	all   mean
}

// mean is a moving average.
type mean struct {
	value float64
	count int
}

// add updates the average with a value.
func (m *mean) add(v float64) {
	m.count = min(m.count+1, maxReloads)
	m.value += max(reloadSmoothing, 1/float64(m.count)) * (v - m.value)
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

// estimate returns the load time of a key after an idle time, in seconds. It is
// prior before any load was observed.
func (r *reloads) estimate(span int, share, prior float64) float64 {
	pooled := prior
	if r.all.count > 0 {
		pooled = r.all.value * share
	}
	s := r.spans[span]
	n := float64(s.count)
	return (n*s.value*share + pooledReloadWeight*pooled) / (n + pooledReloadWeight)
}
