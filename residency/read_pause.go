package residency

import "time"

// PollDelay is how long until the engine is read next: idle unless an order is
// under way, and less as its end comes near, down to busy. It answers sustained
// overload, where requests wait all the time: they wait for places, which are given
// back here, or for an order, whose time is known.
func (m *Scheduler) PollDelay(now time.Time, idle, busy time.Duration) time.Duration {
	if m.order == nil {
		return idle
	}
	return min(idle, max(busy, m.order.left(now)/2))
}
