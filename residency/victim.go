package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// idleVictim returns the idle model to unload for another one, or an empty name.
// Models whose weights are in memory or on disk come first, and among those the least
// requested.
func (s *Scheduler) idleVictim(now time.Time, forModel ident.Model) ident.Model {
	return s.leastRequested(now, forModel, func(st *modelState) bool { return st.active == 0 })
}

// busyVictim returns a model in use that is requested much less often than another
// one, or an empty name. The engine finishes its running requests before it unloads
// the model.
func (s *Scheduler) busyVictim(now time.Time, forModel ident.Model) ident.Model {
	threshold := s.requestRate(now, forModel) / busyEvictionFactor
	return s.leastRequested(now, forModel, func(st *modelState) bool { return st.requestRate.Get(now, s.opts.RateHalfLife) < threshold })
}

// busyEvictionFactor is the ratio of request rates above which a model in use is
// unloaded for another; the unload waits for running requests.
const busyEvictionFactor = 3

// leastRequested returns the loaded model to unload first, or an empty name.
// Candidates are models other than forModel for which allowed returns true, that no
// request waits for and that were loaded at least SettleTime ago.
func (s *Scheduler) leastRequested(now time.Time, forModel ident.Model, allowed func(*modelState) bool) ident.Model {
	var (
		best           ident.Model
		leastRequested float64
	)
	for name := range s.snap.Loaded {
		st := s.model(name)
		if name == forModel || !allowed(st) || s.keepsModel(now, name) || now.Sub(st.loadedAt) < s.opts.SettleTime || s.protected(now, name, forModel) {
			continue
		}
		score := s.unloadScore(now, st)
		if s.tier(name) == engine.TierRemote {
			score += remoteOnlyPenalty
		}
		if best == "" || score < leastRequested || score == leastRequested && name < best {
			best, leastRequested = name, score
		}
	}
	return best
}

// remoteOnlyPenalty ranks models that would have to come from the weight store again
// after all others; it exceeds any request rate.
const remoteOnlyPenalty = 1e6
