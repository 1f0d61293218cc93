package replay

import "time"

// Options configures a replay.
type Options struct {
	Deployment Deployment
	Policies   Policies
	Seed       uint64
	// Days is the length of the replay. The first WarmupDays days are not measured.
	Days, WarmupDays int
	// Slowdown multiplies the load times of the weight store. Zero means one.
	Slowdown float64
	// StallShare is the probability that a load takes stallFactor times as long.
	StallShare float64
	// NoReroute keeps requests at the VM of a slow load until their deadline,
	// instead of routing them again.
	NoReroute bool
	// NoLoadLimit starts remote loads at once, without a load permit.
	NoLoadLimit bool
	// Trace, if set, is called for each measured request with a cold-start time
	// above zero, refused requests included.
	Trace func(c ColdRequest)
}

// ColdRequest describes a request with a cold start or a refusal, for Options.Trace.
type ColdRequest struct {
	At    time.Time
	Group string
	Model int
	// Idle is the time since the previous request for the same model.
	Idle time.Duration
	// Duration is the cold-start time, as in Result.Cold.
	Duration time.Duration
}
