package routing

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	DefaultRegionDelay   = 30 * time.Millisecond
	DefaultCrossingGain  = 100 * time.Millisecond
	DefaultCrossingShare = 0.25
	DefaultLoadBound     = 1.25
	DefaultAdapterDelay  = 15 * time.Millisecond
	DefaultPrefixSavings = 0.3
	DefaultRouters       = 1
	DefaultChoices       = 2
	DefaultFreeShare     = 1
)

// Options configures a Chooser.
type Options struct {
	// RegionDelay is the delay of a link between regions, one way.
	RegionDelay time.Duration
	// CrossingGain is how much sooner, links included, a request must be expected
	// to start in another region to be worth the paid volume.
	CrossingGain time.Duration
	// CrossingShare is the part of the time to the deadline that crossing must gain
	// besides.
	CrossingShare float64
	// LoadBound is how many times the mean load a VM may have and still be chosen
	// for its affinity. It is over 1.
	LoadBound float64
	// FreeShare is the part of a VM's places up to which it may be chosen for its
	// affinity whatever the mean load.
	FreeShare float64
	// Choices is how many random candidates are compared when affinity does not
	// decide. If there are no more candidates, all are.
	Choices int
	// AdapterDelay is the time to load a missing adapter.
	AdapterDelay time.Duration
	// PrefixSavings is the part of the service time that a cached prefix saves.
	PrefixSavings float64
	// Routers is how many routers are expected to send to the same candidates.
	// What one router has sent since a report stands for what all have.
	Routers int
	// Rand breaks ties.
	Rand *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.RegionDelay == 0 {
		o.RegionDelay = DefaultRegionDelay
	}
	if o.CrossingGain == 0 {
		o.CrossingGain = DefaultCrossingGain
	}
	if o.CrossingShare == 0 {
		o.CrossingShare = DefaultCrossingShare
	}
	if o.LoadBound == 0 {
		o.LoadBound = DefaultLoadBound
	}
	if o.AdapterDelay == 0 {
		o.AdapterDelay = DefaultAdapterDelay
	}
	if o.PrefixSavings == 0 {
		o.PrefixSavings = DefaultPrefixSavings
	}
	if o.FreeShare == 0 {
		o.FreeShare = DefaultFreeShare
	}
	if o.Choices == 0 {
		o.Choices = DefaultChoices
	}
	if o.Routers == 0 {
		o.Routers = DefaultRouters
	}
	return o
}

func (o Options) validate() error {
	switch {
	case o.RegionDelay < 0:
		return &OptionError{Field: "RegionDelay"}
	case o.CrossingGain < 0:
		return &OptionError{Field: "CrossingGain"}
	case o.CrossingShare < 0 || o.CrossingShare > 1:
		return &OptionError{Field: "CrossingShare"}
	case o.LoadBound <= 1:
		return &OptionError{Field: "LoadBound"}
	case o.AdapterDelay < 0:
		return &OptionError{Field: "AdapterDelay"}
	case o.PrefixSavings < 0 || o.PrefixSavings >= 1:
		return &OptionError{Field: "PrefixSavings"}
	case o.FreeShare < 0 || o.FreeShare > 1:
		return &OptionError{Field: "FreeShare"}
	case o.Choices < 1:
		return &OptionError{Field: "Choices"}
	case o.Routers < 1:
		return &OptionError{Field: "Routers"}
	case o.Rand == nil:
		return &OptionError{Field: "Rand"}
	}
	return nil
}
