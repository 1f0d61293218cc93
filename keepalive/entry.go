package keepalive

import "time"

const (
	// burstWindow is the time from the first request of a session within which
	// others count to its burst.
	burstWindow = 20 * time.Second
	// burstGain is the weight of a new burst in the running mean.
	burstGain = 0.3
)

// entry is the history of one key.
type entry[K comparable] struct {
	key K
	// last is when the last request arrived, in nanoseconds since 1970.
	last int64
	// session is when the session began, in nanoseconds since 1970.
	session int64
	// lastSpan is the span of idle time that the last request ended.
	lastSpan uint8
	// inBurst counts the requests of the burst under way.
	inBurst uint16
	// staged tells that the weights were brought nearer and no request came
	// yet, and stageLoad how long that took, in seconds.
	staged    bool
	stageLoad float32
	// burst is the running mean of the requests of a burst.
	burst float32
	stage stage
	gaps  [stageCount]gaps
	// days is nil unless profiles of the day are kept.
	days *days
}

// idle returns how long the key has been without a request at now.
func (e *entry[K]) idle(now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixNano()-e.last))
}

// arrive records a request and returns the idle time that it ended.
func (e *entry[K]) arrive(now time.Time) time.Duration {
	idle := e.idle(now)
	e.lastSpan = uint8(spanOf(idle))
	e.gaps[e.stage].observe(idle)
	e.stage = followed
	if idle >= sessionGap {
		e.beginSession(idle, now)
	} else if now.UnixNano()-e.session < int64(burstWindow) && e.inBurst < maxBurst {
		e.inBurst++
	}
	e.last = max(e.last, now.UnixNano())
	return idle
}

// maxBurst bounds the requests that are counted in one burst.
const maxBurst = 1000

// beginSession records the burst before and begins a new one.
func (e *entry[K]) beginSession(idle time.Duration, now time.Time) {
	e.burst += burstGain * (float32(e.inBurst) - e.burst)
	e.inBurst = 1
	e.stage = lone
	e.session = now.UnixNano()
	if e.days != nil {
		e.days.observe(idle, now)
	}
}

// hits returns how many requests a cold start is expected to delay that ends an
// idle time.
func (e *entry[K]) hits(idle float64) float64 {
	if idle < sessionGap.Seconds() {
		return 1
	}
	return max(1, float64(e.burst))
}
