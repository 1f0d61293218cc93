package outlier

import (
	"math"
	"time"
)

// vmState is the state of one VM.
type vmState struct {
	phase           Phase
	ejectedUntil    time.Time
	recoveringSince time.Time
	ejections       int
	consecutive     int
	requests        float64
	failures        float64
	lastResult      time.Time
	// inFlight excludes requests from before the end of the last ejection.
	inFlight     int
	probesPassed int
}

// recordResult adds one result to the decaying counts.
func (s *vmState) recordResult(now time.Time, ok bool, window time.Duration) {
	if dt := now.Sub(s.lastResult); dt > 0 {
		factor := math.Exp(-dt.Seconds() / window.Seconds())
		s.requests *= factor
		s.failures *= factor
		s.lastResult = now
	}
	s.requests++
	if ok {
		s.consecutive = 0
		return
	}
	s.failures++
	s.consecutive++
}

func (s *vmState) reset() {
	s.consecutive, s.requests, s.failures, s.inFlight, s.probesPassed = 0, 0, 0, 0, 0
}
