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
	// RegionDelay is the one-way network delay between regions.
	RegionDelay time.Duration
	// CrossingGain is how much sooner, network delays included, a request must
	// be expected to start in another region to justify the paid volume.
	CrossingGain time.Duration
	// CrossingShare is the fraction of the time to the deadline that a crossing
	// must gain at least, if that is more than CrossingGain.
	CrossingShare float64
	// LoadBound bounds the load of a VM chosen for its affinity, as a multiple
	// of the mean load. It is over 1.
	LoadBound float64
	// FreeShare is the fraction of a VM's concurrency up to which it may be
	// chosen for its affinity regardless of the mean load.
	FreeShare float64
	// Choices is how many random candidates are compared when affinity does not
	// decide. If there are no more candidates, all are compared.
	Choices int
	// AdapterDelay is the time to load a missing adapter.
	AdapterDelay time.Duration
	// PrefixSavings is the fraction of the service time that a cached prefix
	// saves.
	PrefixSavings float64
	// Routers is the expected number of routers that send to the same
	// candidates. Each router assumes that the others have sent as much since a
	// report as itself.
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
