package residency

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// swapOverhead is the time for an unload and for the snapshots between two orders.
const swapOverhead = 150 * time.Millisecond

// estimate returns how long a request would wait for admission, and the reason for
// the wait.
func (s *Scheduler) estimate(now time.Time, p *pending) (time.Duration, Reason) {
	ahead := s.readyAhead(now, p)
	wait, reason := max(s.capacityWaitBehind(len(ahead)), s.prefillWait(now, p, ahead)), ReasonFull
	if pace := s.pace.Wait(now, len(ahead)); pace > wait {
		wait, reason = pace, ReasonRequestLimit
	}
	if _, loaded := s.snap.Loaded[p.Model]; loaded && !s.unloading(p.Model, p.Adapter) {
		return wait, reason
	}
	if load := s.loadWait(now, p); load >= wait {
		return load, ReasonLoad
	}
	return wait, reason
}

// capacityWaitBehind estimates the time until the concurrency limit admits a request after
// n waiting ones. It assumes that running requests end at an even rate.
func (s *Scheduler) capacityWaitBehind(n int) time.Duration {
	over := float64(s.active+n+1) - s.concurrencyLimit.value
	if over <= 0 {
		return 0
	}
	return time.Duration(over / max(1, s.concurrencyLimit.value) * float64(s.runTime))
}

// prefillWait estimates the time until the prompt of a request fits into the prefill
// backlog, after the prompts of other requests.
func (s *Scheduler) prefillWait(now time.Time, p *pending, ahead []*pending) time.Duration {
	var prompts promptSum
	for _, q := range ahead {
		prompts = prompts.plus(s.promptOf(now, q))
	}
	return s.prefillWaitBehind(now, p, prompts)
}

// prefillWaitBehind is prefillWait after the sum of other prompts.
func (s *Scheduler) prefillWaitBehind(now time.Time, p *pending, prompts promptSum) time.Duration {
	maximum := maxBacklog(p.MaxEventGap)
	if maximum == 0 {
		return 0
	}
	ahead := s.prefill.backlog(now) + prompts.prefill
	if ahead == 0 {
		return 0
	}
	return max(0, min(ahead, ahead+s.prefill.duration(p.PromptTokens)-maximum))
}

// loadWait estimates the time until the model of a request is loaded, after the
// models of requests that are due earlier.
func (s *Scheduler) loadWait(now time.Time, p *pending) time.Duration {
	name := p.Model
	wait := time.Duration(0)
	if s.inFlight != nil {
		wait = s.inFlight.remaining(now)
		if s.loading(name) {
			return wait
		}
	}
	for _, other := range s.neededBefore(now, p) {
		if other == name {
			break
		}
		wait += s.swapTime(other)
	}
	if !s.hasMemory(name) {
		wait += s.evictionWait(now, name)
	}
	return wait + s.swapTime(name)
}

// swapTime estimates the time of an unload followed by the load of a model. A retired model is
// not loaded again.
func (s *Scheduler) swapTime(name ident.Model) time.Duration {
	spec := s.spec.Model(name)
	if spec == nil {
		return swapOverhead
	}
	return swapOverhead + spec.LoadTime(s.tier(name))
}

// evictionWait estimates the time until some model can be unloaded. While all models
// are in use, one becomes idle within about half the run time of a request.
func (s *Scheduler) evictionWait(now time.Time, forModel ident.Model) time.Duration {
	if v := s.retiredVictim(); v != "" {
		if s.model(v).active > 0 {
			return s.runTime
		}
		return 0
	}
	if s.idleVictim(now, forModel) == "" {
		return max(s.runTime/2, s.protectionWait(now, forModel))
	}
	return 0
}

// tier returns the nearest tier that holds a model's weights.
func (s *Scheduler) tier(name ident.Model) engine.Tier {
	if t, ok := s.snap.Tiers[name]; ok {
		return t
	}
	return engine.TierRemote
}

// neededBefore lists the models to load for waiting requests that are due no later
// than the given one.
func (s *Scheduler) neededBefore(now time.Time, p *pending) []ident.Model {
	if s.Ordered(now) {
		return s.neededBeforeOrdered(now, p)
	}
	var out []ident.Model
	for _, name := range s.neededModels(now) {
		i := slices.IndexFunc(s.requests, func(q *pending) bool {
			return !q.isGranted() && q.Model == name && !q.due().After(p.due())
		})
		if i >= 0 {
			out = append(out, name)
		}
	}
	return out
}

// neededModels lists the models to load, in order: models that requests wait for, by
// the earliest due time of those requests, then models for which refused callers are
// expected to retry. A model whose weights are only in the weight store is included
// only once its permit is granted.
func (s *Scheduler) neededModels(now time.Time) []ident.Model {
	var models []ident.Model
	waiting := slices.DeleteFunc(slices.Clone(s.requests), func(p *pending) bool {
		_, loaded := s.snap.Loaded[p.Model]
		return p.isGranted() || loaded && !s.unloading(p.Model, "")
	})
	if s.Ordered(now) {
		waiting = s.orderForLoads(now, waiting)
	} else {
		slices.SortStableFunc(waiting, func(a, b *pending) int { return a.due().Compare(b.due()) })
	}
	for _, p := range waiting {
		if s.loading(p.Model) {
			continue
		}
		if s.tier(p.Model) == engine.TierRemote && !s.hasPermit(p.Model) {
			continue
		}
		if !slices.Contains(models, p.Model) {
			models = append(models, p.Model)
		}
	}
	for _, retry := range s.expectedRetries {
		_, loaded := s.snap.Loaded[retry.model]
		loadable := s.tier(retry.model) != engine.TierRemote || s.hasPermit(retry.model)
		if now.Before(retry.until) && !loaded && loadable && !slices.Contains(models, retry.model) {
			models = append(models, retry.model)
		}
	}
	return models
}

// expectedRemoteModel returns the first model that is only in the weight store and
// for which a refused caller is expected to retry, or an empty name.
func (s *Scheduler) expectedRemoteModel(now time.Time) ident.Model {
	for _, retry := range s.expectedRetries {
		if _, loaded := s.snap.Loaded[retry.model]; !loaded && now.Before(retry.until) && s.tier(retry.model) == engine.TierRemote {
			return retry.model
		}
	}
	return ""
}

// hasPermit reports whether the permit to load a model from the weight store is
// granted.
func (s *Scheduler) hasPermit(name ident.Model) bool {
	return s.permit.held() && s.permit.Model == name
}
