package quarantine

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laureltally/laureltally/ident"
)

// Defaults of Options.
const (
	// DefaultMinCrashes is the number of crashes that quarantine a trait.
	DefaultMinCrashes = 3
	// DefaultMinCrashesOfSound is the same for a prompt part that was answered soundly before,
	// and while another one explains as many crashes. A request that was sound before takes
	// one more than others: users accept three further tries, some of which are under way.
	DefaultMinCrashesOfSound = 5
	// DefaultSpacing is the minimum time between two crashes that count. Servers that
	// lose power together crash at the same moment, under many requests.
	DefaultSpacing = 500 * time.Millisecond
	// DefaultMemory is how long a crash counts.
	DefaultMemory = 10 * time.Minute
	// DefaultHoldTime is how long a trait is quarantined. After that it is on probation
	// for as long: one crash quarantines it again.
	DefaultHoldTime = 10 * time.Minute
	// DefaultTentativeTime is how long a request is quarantined on weaker evidence. Its
	// repeats show then whether it was meant.
	DefaultTentativeTime = 3 * time.Second
	// maxStagger bounds Options.Stagger.
	maxStagger = 4 * time.Second
)

// Options configures a Detector.
type Options struct {
	MinCrashes, MinCrashesOfSound            int
	Spacing, Memory, HoldTime, TentativeTime time.Duration
	// Stagger is how much longer than others this router refuses requests. With
	// different values, one router learns of a crash before the others try too.
	Stagger time.Duration
}

func (o Options) withDefaults() Options {
	o.MinCrashes = cmp.Or(o.MinCrashes, DefaultMinCrashes)
	o.MinCrashesOfSound = cmp.Or(o.MinCrashesOfSound, DefaultMinCrashesOfSound)
	o.Spacing = cmp.Or(o.Spacing, DefaultSpacing)
	o.Memory = cmp.Or(o.Memory, DefaultMemory)
	o.HoldTime = cmp.Or(o.HoldTime, DefaultHoldTime)
	o.TentativeTime = cmp.Or(o.TentativeTime, DefaultTentativeTime)
	return o
}

// StaggerOf returns the Stagger of a router, given its VM.
func StaggerOf(vm ident.VM) time.Duration {
	return time.Duration(xxhash.Sum64String(string(vm)) % uint64(maxStagger))
}
