package residency

import "time"

// Outcome is how a request went. Zero durations are unknown.
type Outcome struct {
	TimeToFirstEvent, LongestEventGap, Duration time.Duration
	// NotLoaded is set when the engine responded that the model is not loaded.
	NotLoaded bool
	// RoundTrip is the round-trip time between the engine and the router that measured them.
	RoundTrip time.Duration
	// Slowness is what the engine's server stated of its machine with the response, or 0.
	Slowness float64
}
