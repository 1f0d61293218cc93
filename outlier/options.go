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

// Options configures a Detector.
type Options struct {
	// Consecutive is the number of consecutive failures that ejects a VM.
	Consecutive int
	// FailShare is the fraction of failed requests, of at least MinRequests
	// within about Window, that ejects a VM too.
	FailShare   float64
	MinRequests int
	Window      time.Duration
	// BaseTime is the duration of the first ejection. Each further one lasts
	// twice as long, up to MaxTime. Up to half of the duration is added at
	// random.
	BaseTime, MaxTime time.Duration
	// MaxShare bounds the fraction of the VMs that is ejected or probing at once.
	// With two or more VMs, one may always be ejected.
	MaxShare float64
	// Probes is how many consecutive requests must succeed before recovery
	// starts.
	Probes int
	// Ramp is the time in which the load share of a recovering VM rises from
	// RampStart to 1.
	Ramp      time.Duration
	RampStart float64
	// Rand supplies the random part of the ejection times.
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
