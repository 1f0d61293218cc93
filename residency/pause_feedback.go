package residency

import "time"

const (
	// feedbackDecrease is the factor by which a pause that was too long lowers the scale, and
	// feedbackIncrease what a response without one adds: the scale stays where about 8 in 100
	// responses have such a pause.
	feedbackDecrease, feedbackIncrease = 0.9, 0.008
	// minFeedback bounds the scale.
	minFeedback = 0.4
)

// pauseFeedback scales what is admitted by the pauses that callers saw. It handles engines
// whose pace differs from what their reports show.
type pauseFeedback struct {
	// lowered is 1 minus the scale.
	lowered     float64
	decreasedAt time.Time
}

// scale returns the factor, at most 1.
func (f *pauseFeedback) scale() float64 { return 1 - f.lowered }

// ended takes the longest pause of a stream and the one that its caller accepts.
func (f *pauseFeedback) ended(now time.Time, longest, accepted time.Duration) {
	switch {
	case accepted == 0:
	case longest <= accepted:
		f.lowered = max(0, f.lowered-feedbackIncrease)
	case now.Sub(f.decreasedAt) >= decreaseInterval:
		f.decreasedAt = now
		f.lowered = 1 - max(minFeedback, f.scale()*feedbackDecrease)
	}
}
