package keepalive

const (
	// stagingGain is the weight of a new outcome in the running share.
	stagingGain = 0.05
	// stagingFloor is the least share that is assumed, so that staging is tried
	// again now and then.
	stagingFloor = 0.05
)

// staging follows how often weights that were brought nearer were still near
// when a request came.
type staging struct {
	failed float64
}

// ended records whether staged weights were of use.
func (s *staging) ended(useful bool) {
	target := 1.0
	if useful {
		target = 0
	}
	s.failed += stagingGain * (target - s.failed)
}

// useful returns the share of staged weights that are of use.
func (s *staging) useful() float64 { return max(stagingFloor, 1-s.failed) }
