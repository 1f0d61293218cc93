package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// learnTime is how long a Detector that has learned of a crash from before its start waits
// for what speaks for the traits of such crashes: sidecars tell of both, but not the same
// ones. Links to all of them are made within half a second.
const learnTime = time.Second

// Counts reports whether a crash may speak against its traits. Of those from before the start
// only the crashes count of which it is known too what was sound after them.
func (d *Detector) Counts(now time.Time, c Crash) bool {
	memory := d.opts.Memory
	if c.At.Before(d.since) {
		memory = min(memory, NewsTTL)
	}
	return now.Sub(c.At) <= memory && len(c.Traits) > 0
}

// DecideAt returns when Decide is due, since crashes from before the start begin to count
// then, or the zero time.
func (d *Detector) DecideAt() time.Time { return d.decideAt }

// Decide returns the quarantines that follow from all crashes known.
func (d *Detector) Decide(now time.Time) []Hold {
	d.forget(now)
	return d.evaluate(now)
}

// counted returns the crashes that decisions may rest on now.
func (d *Detector) counted(now time.Time) []Crash {
	if !now.Before(d.decideAt) {
		return d.crashes
	}
	i := slices.IndexFunc(d.crashes, func(c Crash) bool { return !c.At.Before(d.since) })
	if i < 0 {
		return nil
	}
	return d.crashes[i:]
}

// undecided reports whether a request will be quarantined once the crashes from before the
// start count, unless something speaks for it until then.
func (d *Detector) undecided(t ident.Trait) bool {
	if !t.OfRequest() {
		return false
	}
	against := 0
	for i := range d.crashes {
		if d.speaksAgainst(&d.crashes[i], t) {
			against++
		}
	}
	return against >= d.needed(t)
}
