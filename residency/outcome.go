package residency

import "time"

// Outcome tells how a request went. Zero durations are unknown.
type Outcome struct {
	TimeToFirstEvent, LongestEventGap, Duration time.Duration
	// NotLoaded is set when the engine said that it has not loaded the model.
	NotLoaded bool
}
