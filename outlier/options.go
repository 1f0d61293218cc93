package outlier

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	DefaultConsecutive = 5
	DefaultFailShare   = 0.5
	DefaultMinRequests = 10
	DefaultWindow      = 10 * time.Second
	DefaultBaseTime    = 2 * time.Second
	DefaultMaxTime     = 30 * time.Second
	DefaultMaxShare    = 0.5
	DefaultProbes      = 3
	DefaultRamp        = 5 * time.Second
	DefaultRampStart   = 0.1
)

// Options configures an Ejector.
type Options struct {
	// Consecutive failures eject a VM.
	Consecutive int
	// FailShare of at least MinRequests within about Window ejects a VM too.
	FailShare   float64
	MinRequests int
	Window      time.Duration
	// BaseTime is the first ejection; each further one lasts twice as long, up to
	// MaxTime. Both are lengthened at random by up to a half.
	BaseTime, MaxTime time.Duration
	// MaxShare bounds the part of the VMs that is ejected at once. One VM may be
	// ejected whenever there are two.
	MaxShare float64
	// Probes is how many requests in a row have to succeed before recovery.
	Probes int
	// Ramp is how long the share of a recovering VM takes to rise from RampStart
	// to 1.
	Ramp      time.Duration
	RampStart float64
	// Rand spreads the ejection times.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.Consecutive == 0 {
		o.Consecutive = DefaultConsecutive
	}
	if o.FailShare == 0 {
		o.FailShare = DefaultFailShare
	}
	if o.MinRequests == 0 {
		o.MinRequests = DefaultMinRequests
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.BaseTime == 0 {
		o.BaseTime = DefaultBaseTime
	}
	if o.MaxTime == 0 {
		o.MaxTime = DefaultMaxTime
	}
	if o.MaxShare == 0 {
		o.MaxShare = DefaultMaxShare
	}
	if o.Probes == 0 {
		o.Probes = DefaultProbes
	}
	if o.Ramp == 0 {
		o.Ramp = DefaultRamp
	}
	if o.RampStart == 0 {
		o.RampStart = DefaultRampStart
	}
	return o
}

func (o Options) validate() error {
	switch {
	case o.Consecutive < 1:
		return &OptionError{Field: "Consecutive"}
	case o.FailShare <= 0 || o.FailShare > 1:
		return &OptionError{Field: "FailShare"}
	case o.MinRequests < 1:
		return &OptionError{Field: "MinRequests"}
	case o.Window < 0:
		return &OptionError{Field: "Window"}
	case o.BaseTime < 0 || o.MaxTime < o.BaseTime:
		return &OptionError{Field: "MaxTime"}
	case o.MaxShare < 0 || o.MaxShare > 1:
		return &OptionError{Field: "MaxShare"}
	case o.Probes < 1:
		return &OptionError{Field: "Probes"}
	case o.Ramp < 0:
		return &OptionError{Field: "Ramp"}
	case o.RampStart <= 0 || o.RampStart > 1:
		return &OptionError{Field: "RampStart"}
	case o.Rand == nil:
		return &OptionError{Field: "Rand"}
	}
	return nil
}
