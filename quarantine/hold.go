package quarantine

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Hold is the quarantine of one trait: requests with it are refused until it ends.
type Hold struct {
	Trait ident.Trait
	// At is the time of the newest crash that speaks against the trait.
	At, Until time.Time
	// Evidence is zero at processes that have not decided it themselves.
	Evidence Evidence
}

// Evidence is what a decision rests on.
type Evidence struct {
	// Crashes counts the crashes that speak against the trait, Spaced those of them that
	// were not close together.
	Crashes, Spaced int
	// Shared is set if another request was there each time.
	Shared bool
}

// Length returns how long the quarantine lasts.
func (h Hold) Length() time.Duration { return h.Until.Sub(h.At) }

// Tentative reports whether the quarantine rests on weaker evidence and ends soon.
func (h Hold) Tentative() bool { return h.Length() < DefaultHoldTime/2 }

// Outlasts reports whether the quarantine lasts so much longer than a known one of the same
// trait that it is worth passing on.
func (h Hold) Outlasts(known Hold) bool { return h.Until.Sub(known.Until) >= h.Length()/2 }
