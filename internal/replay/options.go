package replay

import "time"

// Options holds what a replay runs.
type Options struct {
	Deployment Deployment
	Policies   Policies
	Seed       uint64
	// Days is the length of the replay, of which the first Learn days are not
	// measured.
	Days, WarmupDays int
	// Slowdown multiplies the load times of the weight store. Zero means one.
	Slowdown float64
	// StallShare is the chance that a load takes stallFactor times as long.
	StallShare float64
	// NoReroute keeps requests at a slow load until their deadline.
	NoReroute bool
	// NoLoadLimit lets loads start at once, without a place at the weight store.
	NoLoadLimit bool
	// Trace, if set, is told of each cold request that is measured.
	Trace func(c ColdRequest)
}

// ColdRequest describes a request that met a cold model, for traces.
type ColdRequest struct {
	At    time.Time
	Group string
	Model int
	// Idle is the time since the request before of the same model.
	Idle time.Duration
	Took time.Duration
}
