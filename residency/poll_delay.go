package residency

import "time"

// PollDelay returns the time until the engine's state is read again: idle unless an
// order is in flight, and otherwise decreasing to busy as the expected end of the
// order approaches. Waiting requests need no faster reads, so that sustained overload
// does not cause them: they wait for reservations, which are released here, or for an
// order, whose end is estimated.
func (s *Scheduler) PollDelay(now time.Time, idle, busy time.Duration) time.Duration {
	if s.inFlight == nil {
		return idle
	}
	return min(idle, max(busy, s.inFlight.remaining(now)/2))
}
