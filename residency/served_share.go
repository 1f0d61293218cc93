package residency

import (
	"cmp"
	"math"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// servedHalfLife is the half-life of the counts of a kind: a burst of some seconds is
	// balanced while it lasts and for a while after it.
	servedHalfLife = 20 * time.Second
	// minAsked is the count below which a kind is forgotten.
	minAsked = 0.01
	// servedTolerance is the accepted difference of the fractions of two kinds.
	servedTolerance = 0.02
)

// requestKind is a kind of request, as far as its urgency is concerned.
type requestKind struct {
	priority ident.Priority
	// objective is the class of the objective. Requests of one route differ by the time that
	// they took to arrive.
	objective int
}

// shortestObjective is the upper end of the first class of objectives. Each further class
// reaches to twice that of the one before.
const shortestObjective = 125 * time.Millisecond

// noObjective is the class of requests that have missed their objective on arrival, at
// another VM, or whose route has none.
const noObjective = 99

func kindOf(r *Request) requestKind {
	if r.Objective <= 0 {
		return requestKind{r.Priority, noObjective}
	}
	class := 0
	for end := shortestObjective; end < r.Objective; end *= 2 {
		class++
	}
	return requestKind{r.Priority, class}
}

// moreUrgent reports whether requests of kind k are refused after those of another kind.
func (k requestKind) moreUrgent(other requestKind) bool {
	return cmp.Or(cmp.Compare(k.priority, other.priority), cmp.Compare(k.objective, other.objective)) < 0
}

// servedCount counts the requests of a kind, decaying, and those of them that were admitted.
type servedCount struct{ asked, admitted float64 }

// servedShare is the fraction of requests that were admitted recently, by kind. It guards
// against long overload by urgent requests: a less urgent one gives way to them only while
// its kind is served no less often than theirs.
type servedShare struct {
	counts  map[requestKind]servedCount
	updated time.Time
}

// add records the decision on a request.
func (v *servedShare) add(now time.Time, k requestKind, admitted bool) {
	v.decay(now)
	if v.counts == nil {
		v.counts = make(map[requestKind]servedCount)
	}
	c := v.counts[k]
	if c.asked++; admitted {
		c.admitted++
	}
	v.counts[k] = c
}

func (v *servedShare) decay(now time.Time) {
	factor := math.Exp2(-max(0, now.Sub(v.updated).Seconds()) / servedHalfLife.Seconds())
	v.updated = now
	for k, c := range v.counts {
		if c.asked *= factor; c.asked < minAsked {
			delete(v.counts, k)
			continue
		}
		c.admitted *= factor
		v.counts[k] = c
	}
}

// of returns the fraction of a kind. One request that was admitted is assumed besides.
func (v *servedShare) of(k requestKind) float64 {
	c := v.counts[k]
	return (c.admitted + 1) / (c.asked + 1)
}

// all returns the fraction of the requests of all kinds.
func (v *servedShare) all() float64 {
	asked, admitted := 1.0, 1.0
	for _, c := range v.counts {
		asked += c.asked
		admitted += c.admitted
	}
	return admitted / asked
}

// exceeds reports whether a kind is served more often than a more urgent one, by more than
// servedTolerance.
func (v *servedShare) exceeds(k requestKind) bool {
	share := v.of(k)
	for other := range v.counts {
		if other.moreUrgent(k) && v.of(other) < share-servedTolerance {
			return true
		}
	}
	return false
}
