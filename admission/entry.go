package admission

import "time"

// entry is an item that is waiting or running, with its zero estimates replaced
// by defaults.
type entry struct {
	Item
	// responseTimeUnknown is set when the item gave no TimeToResponse and the
	// average run time is used.
	responseTimeUnknown bool
	started             time.Time
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) * by)
}
