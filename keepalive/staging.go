package keepalive

const (
	// stagingSmoothing is the weight of a new outcome in the moving average.
	stagingSmoothing = 0.05
	// minSuccessRate is the lower bound of the success rate, so that staging is
	// retried from time to time.
	minSuccessRate = 0.05
)

// staging tracks how often staged weights were still in a near cache when the
// next request arrived.
type staging struct {
	failureRate float64
}

// recordOutcome records whether staging saved a long load.
func (s *staging) recordOutcome(success bool) {
	target := 1.0
	if success {
		target = 0
	}
	s.failureRate += stagingSmoothing * (target - s.failureRate)
}

// successRate returns the share of successful stagings.
func (s *staging) successRate() float64 { return max(minSuccessRate, 1-s.failureRate) }
