package residency

import "time"

// PollDelay returns the time until the engine's state is read again: idle unless an
// order is in flight, and otherwise decreasing to busy as the expected end of the
// order approaches. Waiting requests do not shorten it, so sustained overload causes
// no additional reads: a request waits either for a reservation to be released, which
// the Scheduler does itself, or for an order, whose end is estimated.
func (s *Scheduler) PollDelay(now time.Time, idle, busy time.Duration) time.Duration {
	if s.paced.stated && s.active > 0 {
		idle = min(idle, pacedRead)
	}
	if s.inFlight == nil {
		return idle
	}
	return min(idle, max(busy, s.inFlight.remaining(now)/2))
}
