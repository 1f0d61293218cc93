package admission

import "math"

// Parameters of the adaptive concurrency limit.
const (
	// limitWindow is how many finished requests make one step.
	limitWindow = 16
	// limitTolerance is the latency, relative to the baseline, up to which the
	// limit rises.
	limitTolerance = 1.5
	// limitBackoff is the factor of a decrease.
	limitBackoff = 0.8
	// baselineDrift lets the baseline forget a time that no longer comes back.
	baselineDrift = 1.02
)

// concurrencyLimit is an additive-increase, multiplicative-decrease limit. It is
// fed with the run times of requests relative to what was expected of them.
type concurrencyLimit struct {
	floor, ceiling float64
	value          float64
	fixed          bool
	baseline       float64
	sum            float64
	samples        int
	saturated      bool
}

func newConcurrencyLimit(floor, ceiling int, fixed bool) concurrencyLimit {
	return concurrencyLimit{floor: float64(floor), ceiling: float64(ceiling), value: float64(ceiling), fixed: fixed}
}

// current is the limit in requests.
func (l *concurrencyLimit) current() int { return int(l.value) }

func (l *concurrencyLimit) setCeiling(n int) {
	grew := l.value >= l.ceiling
	l.ceiling = float64(n)
	l.floor = min(l.floor, l.ceiling)
	if grew || l.value > l.ceiling {
		l.value = l.ceiling
	}
}

// observe takes the relative run time of one request, and whether all places
// were taken meanwhile.
func (l *concurrencyLimit) observe(ratio float64, saturated bool) {
	l.sum += ratio
	l.samples++
	l.saturated = l.saturated || saturated
	if l.samples < limitWindow {
		return
	}
	l.step(l.sum / float64(l.samples))
	l.sum, l.samples, l.saturated = 0, 0, false
}

func (l *concurrencyLimit) step(mean float64) {
	if l.baseline == 0 {
		l.baseline = mean
	}
	l.baseline = min(l.baseline*baselineDrift, mean)
	switch {
	case mean > l.baseline*limitTolerance:
		l.decrease()
	case l.saturated:
		l.value = min(l.ceiling, l.value+1)
	}
}

// decrease reacts to an upstream that slows down or turns work away.
func (l *concurrencyLimit) decrease() {
	if !l.fixed {
		l.value = max(l.floor, math.Floor(l.value*limitBackoff))
	}
}
