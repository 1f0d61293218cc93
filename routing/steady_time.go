package routing

import "time"

// steadyTime is the average time that a VM takes for a request by itself: each measured time
// is divided by the slowness at its end and by the queue that the VM stated. It separates
// lasting differences between servers from the load and the slowness of the moment.
type steadyTime struct {
	mean     time.Duration
	measured int
}

func (s *steadyTime) add(took time.Duration) {
	s.measured++
	weight := max(serviceTimeWeight, 1/float64(s.measured))
	s.mean += time.Duration(weight * float64(took-s.mean))
}

// measureSteady takes the time of one request that has ended now, if the VM states its
// slowness.
func (m *member) measureSteady(now time.Time, took time.Duration) {
	s := m.state
	if !s.slowness.known() {
		return
	}
	queued := 1 + float64(s.waiting)/float64(max(1, s.concurrency))
	m.steady.add(time.Duration(float64(took) / queued / s.slowness.at(now)))
}

// statesSlowness reports whether the time of a request follows the slowness that the VM states.
func (m *member) statesSlowness() bool { return m.state.slowness.known() && m.state.runTime == 0 }

// fillSpeed sets what depends on the speed of a VM that states its slowness: the time of a
// request at its steady speed and present slowness, and the load as far as it is known.
func (m *member) fillSpeed(now time.Time, assumed time.Duration, meanUtilization float64, c *Candidate) {
	steady := assumed
	if m.steady.measured > 0 {
		steady = m.steady.mean
	}
	c.ServiceTime = time.Duration(float64(steady) * m.state.slowness.at(now))
	c.ageLoad(meanUtilization)
}
