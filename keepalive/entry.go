package keepalive

import "time"

const (
	// burstWindow is how long after the first request of a session further requests
	// count as part of its burst.
	burstWindow = 20 * time.Second
	// burstSmoothing is the weight of a new burst in the moving average.
	burstSmoothing = 0.3
)

// entry is the history of one key.
type entry[K comparable] struct {
	key K
	// last is when the last request arrived, in nanoseconds since 1970.
	last int64
	// session is when the session began, in nanoseconds since 1970.
	session int64
	// lastSpan is the span of the idle time before the last request.
	lastSpan uint8
	// inBurst counts the requests of the current burst.
	inBurst uint16
	// staged is set from Stage on, until it is recorded whether the staging saved a
	// long load. stageLoad is how long the last load ahead of a request took, in
	// seconds.
	staged    bool
	stageLoad float32
	// burst is the moving average of the requests in a burst.
	burst        float32
	sessionStage sessionStage
	hazards      [sessionStageCount]hazards
	// dayProfile is nil unless Config.DailyProfile is set.
	dayProfile *dayProfile
}

// idle returns the time since the last request.
func (e *entry[K]) idle(now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixNano()-e.last))
}

// recordRequest records a request and returns the idle time before it.
func (e *entry[K]) recordRequest(now time.Time) time.Duration {
	idle := e.idle(now)
	e.lastSpan = uint8(spanOf(idle))
	e.hazards[e.sessionStage].observe(idle)
	e.sessionStage = severalRequests
	if idle >= sessionGap {
		e.beginSession(idle, now)
	} else if now.UnixNano()-e.session < int64(burstWindow) && e.inBurst < maxBurst {
		e.inBurst++
	}
	e.last = max(e.last, now.UnixNano())
	return idle
}

// maxBurst bounds the requests counted in one burst.
const maxBurst = 1000

// beginSession records the previous burst and starts a new one.
func (e *entry[K]) beginSession(idle time.Duration, now time.Time) {
	e.burst += burstSmoothing * (float32(e.inBurst) - e.burst)
	e.inBurst = 1
	e.sessionStage = singleRequest
	e.session = now.UnixNano()
	if e.dayProfile != nil {
		e.dayProfile.observe(idle, now)
	}
}

// delayedRequests returns how many requests a cold start after an idle time, in
// seconds, is expected to delay.
func (e *entry[K]) delayedRequests(idle float64) float64 {
	if idle < sessionGap.Seconds() {
		return 1
	}
	return max(1, float64(e.burst))
}
