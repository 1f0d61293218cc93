package admission

import "time"

// Estimate is the expected time until the answer of a request is due.
type Estimate struct {
	// Wait is spent in the queue after the model is loaded.
	Wait time.Duration
	// Load is spent until the model is loaded.
	Load time.Duration
	// Run is spent from the start to the answer that the deadline is for.
	Run time.Duration
}

// Total is the whole time from now.
func (e Estimate) Total() time.Duration { return e.Wait + e.Load + e.Run }

// Fits tells whether the answer is expected by deadline.
func (e Estimate) Fits(now, deadline time.Time) bool {
	return !now.Add(e.Total()).After(deadline)
}
