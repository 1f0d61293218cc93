package quarantine

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// partSuspicion is how much speaks against a prompt part.
type partSuspicion struct {
	part ident.Trait
	// explained counts the crashes that it could explain, of those close together one;
	// explainedAll counts them all, and seen all crashes at which it was there.
	explained, explainedAll, seen int
	lastAt, newestAt              time.Time
	// position is its place in the newest crash.
	position int
	// requests holds the quarantined requests whose crashes have been counted: all
	// crashes under one of them speak against its parts once.
	requests map[ident.Trait]bool
}

// worse reports whether more speaks against s. Of parts that explain as many crashes, the
// rarer one is meant, which has fewer sound requests: parts later in a prompt go along
// with earlier ones.
func (s *partSuspicion) worse(other *partSuspicion) bool {
	switch {
	case s.explained != other.explained:
		return s.explained > other.explained
	case s.explainedAll != other.explainedAll:
		return s.explainedAll > other.explainedAll
	case s.seen != other.seen:
		return s.seen < other.seen
	}
	return s.position > other.position
}

// ties reports whether s explains as many crashes as another part does.
func (s *partSuspicion) ties(other *partSuspicion) bool {
	return s.explained == other.explained && s.explainedAll == other.explainedAll
}

// count adds a crash. Request is the quarantined request that explains it, or zero.
func (s *partSuspicion) count(at time.Time, request ident.Trait, spacing time.Duration) {
	if request != 0 {
		if s.requests[request] {
			return
		}
		if s.requests == nil {
			s.requests = make(map[ident.Trait]bool)
		}
		s.requests[request] = true
	}
	s.explainedAll++
	s.newestAt = at
	if at.Sub(s.lastAt) >= spacing {
		s.explained++
		s.lastAt = at
	}
}

// mostSuspectPart returns the part that explains most of the unexplained crashes, or nil if
// there is none that explains enough.
func (d *Detector) mostSuspectPart(now time.Time) *partSuspicion {
	var worst *partSuspicion
	tied := false
	for _, s := range d.partSuspicions(now) {
		if s.explained < d.needed(s.part) {
			continue
		}
		if worst == nil || s.worse(worst) {
			tied = worst != nil && s.ties(worst)
			worst = s
		} else {
			tied = tied || s.ties(worst)
		}
	}
	// Another part may have been there by chance; further crashes will tell.
	if worst == nil || tied && worst.explained < d.opts.MinCrashesOfSound {
		return nil
	}
	return worst
}

// partSuspicions returns what speaks against each prompt part.
func (d *Detector) partSuspicions(now time.Time) map[ident.Trait]*partSuspicion {
	all := make(map[ident.Trait]*partSuspicion)
	for _, c := range d.counted(now) {
		byPart, request := d.explanation(now, &c)
		for i, t := range c.Traits {
			if t.OfRequest() {
				continue
			}
			s := all[t]
			if s == nil {
				s = &partSuspicion{part: t}
				all[t] = s
			}
			s.seen++
			s.position = i
			if !byPart && c.At.After(d.soundAt(t)) {
				s.count(c.At, request, d.opts.Spacing)
			}
		}
	}
	return all
}

// explanation reports whether a quarantined part explains a crash, and returns the
// quarantined request that does, or zero.
func (d *Detector) explanation(now time.Time, c *Crash) (byPart bool, request ident.Trait) {
	for _, t := range c.Traits {
		switch {
		case !d.explains(now, c, t):
		case t.OfRequest():
			request = t
		default:
			byPart = true
		}
	}
	return byPart, request
}
