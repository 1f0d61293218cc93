package residency

import "time"

// PaceStatus is the pace of an engine, for logs and metrics.
type PaceStatus struct {
	// InForce is set while admission follows the pace.
	InForce bool
	// EventTime is the lasting time between events, without prefill.
	EventTime time.Duration
	// Slowness is how many times longer than usual the engine takes at this moment.
	Slowness float64
	// Scale is the factor that pauses of streams have set for the admission, at most 1.
	Scale float64
}

// Pace returns the pace of the engine.
func (s *Scheduler) Pace(now time.Time) PaceStatus {
	a := &s.paced
	return PaceStatus{InForce: a.inForce(), EventTime: a.pace.event(), Slowness: a.pace.slownessAt(now), Scale: a.feedback.scale()}
}
