package admission

import (
	"math/rand/v2"
	"time"
)

// minReturnShare is the least part of the drain rate that is set aside for
// callers who come back.
const minReturnShare = 0.1

// schedule hands out times at which refused callers should come back, so that
// they return about as fast as places become free.
type schedule struct {
	least, most time.Duration
	rand        *rand.Rand
	next        time.Time
}

// take returns the wait of the next refused caller: after base, and behind those
// refused before, one step of the spare drain rate apart.
func (s *schedule) take(now time.Time, base time.Duration, perSecond float64) time.Duration {
	base = max(s.least, base)
	if earliest := now.Add(base); s.next.Before(earliest) {
		s.next = earliest
	}
	step := time.Duration(float64(time.Second) / max(perSecond, 1/s.most.Seconds()))
	s.next = s.next.Add(step)
	wait := s.next.Sub(now)
	if wait > s.most {
		s.next = now.Add(s.most)
		wait = s.most/2 + time.Duration(s.rand.Int64N(int64(s.most/2)+1))
	}
	return wait + time.Duration(s.rand.Int64N(int64(step)+1))
}
