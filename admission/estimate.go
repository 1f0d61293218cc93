package admission

import "time"

// Estimate is the expected time until the response to a request.
type Estimate struct {
	// Wait is the time in the queue after the model is loaded.
	Wait time.Duration
	// Load is the time until the model is loaded.
	Load time.Duration
	// Run is the time from the start to the response that the deadline applies
	// to.
	Run time.Duration
}

// Total returns the sum of the parts.
func (e Estimate) Total() time.Duration { return e.Wait + e.Load + e.Run }

// Fits reports whether the response is expected by deadline.
func (e Estimate) Fits(now, deadline time.Time) bool {
	return !now.Add(e.Total()).After(deadline)
}
