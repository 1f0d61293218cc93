package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// minMoments is the number of separate moments at which crashes under a request prove
	// more than a loss of power.
	minMoments = 2
	// maxCompanions bounds how many other suspects one waits for until it is let through again.
	maxCompanions = 7
)

// requestSuspicion is how much speaks against a request.
type requestSuspicion struct {
	// crashes holds the indexes of the unexplained crashes at which it was running.
	crashes []int
	// spaced counts them, of those close together one.
	spaced           int
	lastAt, newestAt time.Time
}

func (s *requestSuspicion) count(index int, at time.Time, spacing time.Duration) {
	s.crashes = append(s.crashes, index)
	s.newestAt = at
	if at.Sub(s.lastAt) >= spacing {
		s.spaced++
		s.lastAt = at
	}
}

// includes reports whether s was there at all crashes of another.
func (s *requestSuspicion) includes(other *requestSuspicion) bool {
	return !slices.ContainsFunc(other.crashes, func(i int) bool { return !slices.Contains(s.crashes, i) })
}

// crashingRequests returns the quarantines of requests that follow from the crashes. The
// evidence against a request is weak if all crashes were close together, when servers may
// have lost power while a popular request was running at all of them, if it was sound before, and
// if another request was there each time. Then it is quarantined tentatively.
func (d *Detector) crashingRequests(now time.Time) []Hold {
	all := d.requestSuspicions(now)
	suspects := make(map[ident.Trait]*requestSuspicion)
	for t, s := range all {
		if d.suspect(t, s) {
			suspects[t] = s
		}
	}
	var out []Hold
	for _, t := range slices.Sorted(maps.Keys(suspects)) {
		s := suspects[t]
		before, shared := d.companions(now, suspects, t, s)
		h := Hold{
			Trait: t, At: s.newestAt,
			Evidence: Evidence{Crashes: len(s.crashes), Spaced: s.spaced, Shared: shared},
		}
		if d.proven(t, s) && !shared {
			h.Until = s.newestAt.Add(d.opts.HoldTime)
		} else {
			h.Until = s.newestAt.Add(d.opts.TentativeTime + time.Duration(min(before, maxCompanions))*(d.opts.TentativeTime+maxStagger))
		}
		out = append(out, h)
	}
	return out
}

// suspect reports whether enough speaks against a request to quarantine it for a moment at least.
// One that was sound before has to be there at crashes that are not close together.
func (d *Detector) suspect(t ident.Trait, s *requestSuspicion) bool {
	if _, probation := d.holds[t]; probation {
		return true
	}
	return len(s.crashes) >= d.opts.MinCrashes && (s.spaced >= minMoments || d.soundAt(t).IsZero())
}

// proven reports whether the crashes prove that a request causes them, if no other request was
// there each time.
func (d *Detector) proven(t ident.Trait, s *requestSuspicion) bool {
	needed := d.needed(t)
	return len(s.crashes) >= needed && s.spaced >= min(needed, minMoments)
}

// companions reports whether another suspect was there at all crashes of a request, and returns
// how many of these come before it in the order in which they are let through again: one after the
// other, since together they would be suspects forever.
func (d *Detector) companions(now time.Time, suspects map[ident.Trait]*requestSuspicion, t ident.Trait, s *requestSuspicion) (before int, shared bool) {
	for _, other := range d.counted(now)[s.crashes[0]].Traits {
		o := suspects[other]
		if o == nil || other == t || !o.includes(s) {
			continue
		}
		shared = true
		if other < t {
			before++
		}
	}
	return before, shared
}

// requestSuspicions returns what speaks against each request.
func (d *Detector) requestSuspicions(now time.Time) map[ident.Trait]*requestSuspicion {
	all := make(map[ident.Trait]*requestSuspicion)
	for i, c := range d.counted(now) {
		if d.explained(now, &c) {
			continue
		}
		for _, t := range c.Traits {
			if !t.OfRequest() || !c.At.After(d.soundAt(t)) {
				continue
			}
			s := all[t]
			if s == nil {
				s = &requestSuspicion{}
				all[t] = s
			}
			s.count(i, c.At, d.opts.Spacing)
		}
	}
	return all
}
