package admission

import (
	"math"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// limitWindowRequests is the number of finished requests per measurement.
	limitWindowRequests = 192
	// probeStepShare is the fraction by which a probe changes the limit.
	probeStepShare = 0.25
	// minThroughputShare is the fraction of the throughput that a lower limit
	// must retain to be kept.
	minThroughputShare = 1.0
	// limitBackoff is the factor of a decrease after the upstream rejected a
	// request.
	limitBackoff = 0.8
	// slowdownFactor is the ratio of the mean run time to baselineRunTime above
	// which a probe starts at once.
	slowdownFactor = 1.3
	// minProbeGapWindows and maxProbeGapWindows bound the number of windows
	// between probes. The gap doubles after each probe that showed no gain.
	minProbeGapWindows = 16
	maxProbeGapWindows = 256
)

// concurrencyLimit searches for the concurrency with the highest throughput. It
// keeps a lower limit only if the throughput does not drop, so an upstream that
// is merely slow keeps its concurrency.
type concurrencyLimit struct {
	floor, ceiling int
	value          int
	fixed          bool
	sum            time.Duration
	samples        int
	// baselineRunTime is the mean run time of the last window at the current
	// limit or, during a probe, at the limit before it. Zero means that there is
	// none.
	baselineRunTime time.Duration
	// limitBeforeProbe is the limit to restore if the running probe fails, or
	// zero while none runs.
	limitBeforeProbe int
	// probeUp is the direction of the next probe.
	probeUp                            bool
	probeGapWindows, windowsSinceProbe int
}

func newConcurrencyLimit(floor, ceiling int, fixed bool) concurrencyLimit {
	return concurrencyLimit{floor: floor, ceiling: ceiling, value: ceiling, fixed: fixed, probeGapWindows: minProbeGapWindows}
}

// current returns the limit in requests.
func (l *concurrencyLimit) current() int { return l.value }

func (l *concurrencyLimit) setCeiling(n int) {
	if l.value == l.ceiling || l.value > n {
		l.value = n
	}
	l.ceiling = n
	l.floor = min(l.floor, n)
	l.resetMeasurement()
}

// observe records the run time of a request that ran while the limit was
// reached.
func (l *concurrencyLimit) observe(runTime time.Duration) {
	if l.fixed {
		return
	}
	l.sum += runTime
	l.samples++
	if l.samples < limitWindowRequests {
		return
	}
	mean := l.sum / limitWindowRequests
	l.sum, l.samples = 0, 0
	l.endWindow(mean)
}

// endWindow evaluates a window with the given mean run time.
func (l *concurrencyLimit) endWindow(mean time.Duration) {
	if l.limitBeforeProbe != 0 {
		l.endProbe(mean)
		return
	}
	l.windowsSinceProbe++
	slower := l.baselineRunTime > 0 && float64(mean) > slowdownFactor*float64(l.baselineRunTime)
	if l.baselineRunTime == 0 || !slower {
		l.baselineRunTime = mean
	}
	if slower || l.windowsSinceProbe >= l.probeGapWindows {
		l.baselineRunTime = mean
		l.probeUp = l.probeUp && !slower
		l.probe()
	}
}

// probe changes the limit for one window.
func (l *concurrencyLimit) probe() {
	l.windowsSinceProbe = 0
	next := l.nextProbeLimit()
	if next == l.value {
		l.probeUp = !l.probeUp
		next = l.nextProbeLimit()
	}
	if next != l.value {
		l.limitBeforeProbe, l.value = l.value, next
	}
}

// nextProbeLimit returns the next limit in the current probe direction.
func (l *concurrencyLimit) nextProbeLimit() int {
	step := max(1, int(float64(l.value)*probeStepShare))
	if l.probeUp {
		return min(l.ceiling, l.value+step)
	}
	return max(l.floor, l.value-step)
}

// endProbe ends a probe. If the new limit improves on the old one it is kept
// and the search continues in the same direction; otherwise the old one is
// restored.
func (l *concurrencyLimit) endProbe(mean time.Duration) {
	old := l.limitBeforeProbe
	l.limitBeforeProbe = 0
	if l.improvesOn(mean, old) {
		l.baselineRunTime, l.probeGapWindows, l.windowsSinceProbe = mean, minProbeGapWindows, minProbeGapWindows-1
		return
	}
	l.value = old
	l.probeUp = !l.probeUp
	l.probeGapWindows = min(maxProbeGapWindows, l.probeGapWindows*2)
}

// improvesOn reports whether the current limit, with the given mean run time,
// is better than old. A lower limit must not reduce the throughput; a higher
// one must yield more than half of the proportional increase.
func (l *concurrencyLimit) improvesOn(mean time.Duration, old int) bool {
	current, previous := float64(l.value)/float64(mean), float64(old)/float64(l.baselineRunTime)
	if l.value < old {
		return current >= previous*minThroughputShare
	}
	ratio := float64(l.value) / float64(old)
	return current > previous*(1+ratio)/2
}

// decrease lowers the limit after the upstream rejected a request because of
// its load.
func (l *concurrencyLimit) decrease() {
	if l.fixed {
		return
	}
	l.value = max(l.floor, int(math.Floor(float64(l.value)*limitBackoff)))
	l.resetMeasurement()
}

func (l *concurrencyLimit) resetMeasurement() {
	l.sum, l.samples, l.baselineRunTime, l.limitBeforeProbe, l.windowsSinceProbe = 0, 0, 0, 0, 0
	l.probeGapWindows = minProbeGapWindows
}
