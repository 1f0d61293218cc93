package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
)

// maxCrashTraits bounds the traits of one Crash.
const maxCrashTraits = 128

// Crash is the unplanned end of a server while requests were running there.
type Crash struct {
	Server fleet.ServerStart
	At     time.Time
	// Traits lists those of the requests that may have caused it, the newest request
	// first.
	Traits []ident.Trait
}

// Merge adds traits that c lacks, up to maxCrashTraits, and reports whether there were any. The
// list is copied, as others may hold it.
func (c *Crash) Merge(traits []ident.Trait) bool {
	merged := slices.Clone(c.Traits)
	for _, t := range traits {
		if len(merged) < maxCrashTraits && !slices.Contains(merged, t) {
			merged = append(merged, t)
		}
	}
	added := len(merged) > len(c.Traits)
	c.Traits = merged
	return added
}
