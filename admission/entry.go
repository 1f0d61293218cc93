package admission

import "time"

// entry is an item in the queue or at the upstream, with its zero estimates
// replaced.
type entry struct {
	Item
	// guessed is set when Cost is the average of other requests.
	guessed bool
	started time.Time
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
