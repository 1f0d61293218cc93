package admission

import (
	"math/rand/v2"
	"time"
)

// minRetryShare is the least fraction of the drain rate that is reserved for
// retries.
const minRetryShare = 0.1

// retrySchedule assigns retry times to refused callers so that they retry at
// about the rate at which requests finish.
type retrySchedule struct {
	minDelay, maxDelay time.Duration
	rand               *rand.Rand
	lastRetry          time.Time
}

// reserve returns the delay of the next refused caller: at least base, and
// 1/ratePerSecond after the retry of the caller refused before. A delay over
// maxDelay is replaced by a random one between half of maxDelay and maxDelay.
// Jitter of up to 1/ratePerSecond is added.
func (s *retrySchedule) reserve(now time.Time, base time.Duration, ratePerSecond float64) time.Duration {
	base = max(s.minDelay, base)
	if earliest := now.Add(base); s.lastRetry.Before(earliest) {
		s.lastRetry = earliest
	}
	step := time.Duration(float64(time.Second) / max(ratePerSecond, 1/s.maxDelay.Seconds()))
	s.lastRetry = s.lastRetry.Add(step)
	wait := s.lastRetry.Sub(now)
	if wait > s.maxDelay {
		s.lastRetry = now.Add(s.maxDelay)
		wait = s.maxDelay/2 + time.Duration(s.rand.Int64N(int64(s.maxDelay/2)+1))
	}
	return wait + time.Duration(s.rand.Int64N(int64(step)+1))
}
