package admission

import (
	"math"
	"time"
)

// Parameters of the adaptive concurrency limit.
const (
	// limitWindow is how many finished requests make one measurement.
	limitWindow = 192
	// limitStep is the part by which a probe changes the limit.
	limitStep = 0.25
	// noLoss is the part of the throughput that a lower limit has to keep.
	noLoss = 1.0
	// limitBackoff is the factor of a decrease after the upstream turned work
	// away.
	limitBackoff = 0.8
	// suspicion is the rise of the mean run time that calls for a probe at once.
	suspicion = 1.3
	// minProbeGap and maxProbeGap bound the windows between probes. The gap
	// doubles after each probe that showed no gain.
	minProbeGap = 16
	maxProbeGap = 256
)

// concurrencyLimit searches for the concurrency at which the upstream gets most
// done. Only when a lower limit gets no less done does it stay lower: an
// upstream that is merely slow keeps its concurrency.
type concurrencyLimit struct {
	floor, ceiling int
	value          int
	fixed          bool
	sum            time.Duration
	samples        int
	// usual is the mean run time of the window before, at the present limit.
	usual time.Duration
	// probing is the limit to return to, or zero.
	probing int
	// rising is the direction of the next probe.
	rising       bool
	gap, windows int
}

func newConcurrencyLimit(floor, ceiling int, fixed bool) concurrencyLimit {
	return concurrencyLimit{floor: floor, ceiling: ceiling, value: ceiling, fixed: fixed, gap: minProbeGap}
}

// current is the limit in requests.
func (l *concurrencyLimit) current() int { return l.value }

func (l *concurrencyLimit) setCeiling(n int) {
	if l.value == l.ceiling || l.value > n {
		l.value = n
	}
	l.ceiling = n
	l.floor = min(l.floor, n)
	l.restart()
}

// observe takes the run time of one request that ran while all places were taken.
func (l *concurrencyLimit) observe(took time.Duration) {
	if l.fixed {
		return
	}
	l.sum += took
	l.samples++
	if l.samples < limitWindow {
		return
	}
	mean := l.sum / limitWindow
	l.sum, l.samples = 0, 0
	l.step(mean)
}

// step ends a window with the given mean run time.
func (l *concurrencyLimit) step(mean time.Duration) {
	if l.probing != 0 {
		l.judge(mean)
		return
	}
	l.windows++
	suspect := l.usual > 0 && float64(mean) > suspicion*float64(l.usual)
	if l.usual == 0 || !suspect {
		l.usual = mean
	}
	if suspect || l.windows >= l.gap {
		l.usual = mean
		l.rising = l.rising && !suspect
		l.probe()
	}
}

// probe tries another limit for one window.
func (l *concurrencyLimit) probe() {
	l.windows = 0
	next := l.neighbour()
	if next == l.value {
		l.rising = !l.rising
		next = l.neighbour()
	}
	if next != l.value {
		l.probing, l.value = l.value, next
	}
}

// neighbour is the next limit in the present direction.
func (l *concurrencyLimit) neighbour() int {
	step := max(1, int(float64(l.value)*limitStep))
	if l.rising {
		return min(l.ceiling, l.value+step)
	}
	return max(l.floor, l.value-step)
}

// judge ends a probe. The limit stays at its new value if that is worth it, and
// the search goes on in the same direction; otherwise it returns.
func (l *concurrencyLimit) judge(mean time.Duration) {
	old := l.probing
	l.probing = 0
	if l.prefers(mean, old) {
		l.usual, l.gap, l.windows = mean, minProbeGap, minProbeGap-1
		return
	}
	l.value = old
	l.rising = !l.rising
	l.gap = min(maxProbeGap, l.gap*2)
}

// prefers tells whether the present limit, with a mean run time, is better than
// an old one. A lower limit must get as much done; a higher one at least half of
// what its additional places promise.
func (l *concurrencyLimit) prefers(mean time.Duration, old int) bool {
	now, before := float64(l.value)/float64(mean), float64(old)/float64(l.usual)
	if l.value < old {
		return now >= before*noLoss
	}
	promised := float64(l.value) / float64(old)
	return now > before*(1+promised)/2
}

// decrease reacts to an upstream that turns work away.
func (l *concurrencyLimit) decrease() {
	if l.fixed {
		return
	}
	l.value = max(l.floor, int(math.Floor(float64(l.value)*limitBackoff)))
	l.restart()
}

func (l *concurrencyLimit) restart() {
	l.sum, l.samples, l.usual, l.probing, l.windows = 0, 0, 0, 0, 0
	l.gap = minProbeGap
}
