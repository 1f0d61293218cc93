package quarantine

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
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
// evidence against a request is weak if the crashes were close together, when servers may
// have lost power while a popular request was running at all of them, and if another request
// was there each time. Then it is quarantined tentatively.
func (d *Detector) crashingRequests(now time.Time) []Hold {
	all := d.requestSuspicions(now)
	var out []Hold
	for t, s := range all {
		needed := d.needed(t)
		spaced := s.spaced >= needed
		if !spaced && (len(s.crashes) < needed || !d.soundAt(t).IsZero()) {
			continue
		}
		h := Hold{
			Trait: t, At: s.newestAt, Until: s.newestAt.Add(d.opts.TentativeTime),
			Evidence: Evidence{Crashes: len(s.crashes), Spaced: s.spaced, Shared: !d.alone(now, all, t, s)},
		}
		if spaced && !h.Evidence.Shared {
			h.Until = s.newestAt.Add(d.opts.HoldTime)
		}
		out = append(out, h)
	}
	return out
}

// alone reports whether no other request that might be quarantined was there at all crashes
// of a request.
func (d *Detector) alone(now time.Time, all map[ident.Trait]*requestSuspicion, t ident.Trait, s *requestSuspicion) bool {
	for _, other := range d.counted(now)[s.crashes[0]].Traits {
		if o := all[other]; o != nil && other != t && len(o.crashes) >= d.needed(other) && o.includes(s) {
			return false
		}
	}
	return true
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
