package residency

import (
	"slices"
	"time"
)

// Reserve admits, queues or refuses a request.
func (s *Scheduler) Reserve(now time.Time, r Request) []Action {
	if reason := s.refusalReason(now, &r); reason != "" {
		return []Action{&Refuse{ID: r.ID, RetryAfter: noReportRetryAfter, Reason: reason}}
	}
	s.countRequest(now, &r)
	p := &pending{Request: r, arrivedAt: now}
	if s.Ordered(now) {
		return s.reserveOrdered(now, p)
	}
	wait, reason := s.estimate(now, p)
	if wait > r.MaxWait {
		if reason == ReasonLoad {
			s.expectRetry(now, r.Model)
		}
		return []Action{&Refuse{ID: r.ID, RetryAfter: wait, Reason: reason}}
	}
	s.requests = append(s.requests, p)
	return s.Tick(now)
}

// noReportRetryAfter is the retry delay of requests that are refused on arrival
// irrespective of their expected wait; the next report of an engine that has not
// reported is due within a second.
const noReportRetryAfter = time.Second

// refusalReason returns the reason why no request for the model is accepted, or an
// empty string.
func (s *Scheduler) refusalReason(now time.Time, r *Request) Reason {
	switch {
	case s.spec == nil || !s.snapshotFresh(now):
		return ReasonNoReport
	case s.ended:
		return ReasonEnded
	case s.snap.Leaving:
		return ReasonLeaving
	case s.spec.Model(r.Model) == nil:
		return ReasonUnknownModel
	case s.spec.ExceedsCache(r.PromptTokens):
		return ReasonTooLarge
	}
	return ""
}

// refuseExpired refuses requests that were not admitted within their MaxWait, and
// all waiting requests once the engine is leaving or has ended.
func (s *Scheduler) refuseExpired(now time.Time) []Action {
	var out []Action
	s.requests = slices.DeleteFunc(s.requests, func(p *pending) bool {
		switch {
		case p.isGranted():
			return false
		case s.ended:
			out = append(out, &Refuse{ID: p.ID, RetryAfter: leavingRetryAfter, Reason: ReasonEnded})
			return true
		case s.snap.Leaving:
			out = append(out, &Refuse{ID: p.ID, RetryAfter: leavingRetryAfter, Reason: ReasonLeaving})
			return true
		case now.After(p.expires()):
			wait, _ := s.estimate(now, p)
			s.expectRetry(now, p.Model)
			s.countDecision(now, p, false)
			out = append(out, &Refuse{ID: p.ID, RetryAfter: wait, Reason: ReasonTimeout})
			return true
		}
		return false
	})
	return out
}

// leavingRetryAfter is the retry delay of requests that wait when their engine begins
// to leave or ends; other engines accept them at once.
const leavingRetryAfter = 200 * time.Millisecond

// grantAll admits waiting requests, in order of arrival unless they are ordered. A request
// whose prompt does not fit into the prefill backlog yet blocks later ones, so that long
// prompts are not starved by short ones.
func (s *Scheduler) grantAll(now time.Time) []Action {
	if s.Ordered(now) {
		return s.grantOrdered(now)
	}
	var out []Action
	for _, p := range s.requests {
		if p.isGranted() || !s.ready(p) || !s.hasCapacity(p) {
			continue
		}
		if !s.prefillFits(now, p) || s.pace.Wait(now, 0) > 0 {
			break
		}
		out = append(out, s.grant(now, p))
	}
	return out
}

// grant admits a waiting request.
func (s *Scheduler) grant(now time.Time, p *pending) *Grant {
	s.pace.Take(now)
	p.grantedAt = now
	p.prefillAhead = s.prefill.add(now, p.PromptTokens)
	p.prefillEnd = s.prefill.doneAt
	s.addActive(now, p, 1)
	return &Grant{ID: p.ID, Waited: now.Sub(p.arrivedAt), VM: s.snap.VM, Started: s.snap.Started}
}

// prefillFits reports whether the prompt of a request fits into the prefill backlog.
// A prompt longer than the maximum backlog is admitted only when the backlog is
// empty.
func (s *Scheduler) prefillFits(now time.Time, p *pending) bool {
	remaining, maximum := s.prefill.backlog(now), maxBacklog(p.MaxEventGap)
	return remaining == 0 || maximum == 0 || remaining+s.prefill.duration(p.PromptTokens) <= maximum
}

// NextGrant returns when the next request that waits only for the prefill backlog or the
// limit on requests a second can be admitted, and false if there is none.
func (s *Scheduler) NextGrant(now time.Time) (time.Time, bool) {
	backlog, pace := s.prefill.backlog(now), s.pace.Wait(now, 0)
	if backlog == 0 && pace == 0 {
		return time.Time{}, false
	}
	if s.Ordered(now) {
		return s.nextOrderedGrant(now)
	}
	for _, p := range s.requests {
		if !p.isGranted() && s.ready(p) && s.hasCapacity(p) {
			prefill := min(backlog, backlog+s.prefill.duration(p.PromptTokens)-maxBacklog(p.MaxEventGap))
			return now.Add(max(0, prefill, pace)), true
		}
	}
	return time.Time{}, false
}

// hasCapacity reports whether the engine can run one more request within the
// concurrency limit and the part of the cache that requests may reserve. An idle
// engine accepts a request of any size.
func (s *Scheduler) hasCapacity(p *pending) bool {
	if float64(s.active)+1 > s.concurrencyLimit.value {
		return false
	}
	total := s.opts.CacheShare * float64(s.spec.CacheTokens)
	return s.active == 0 || float64(s.tokens+p.CacheTokens) <= total
}

// ready reports whether the model and adapter of a request are loaded and not being
// unloaded.
func (s *Scheduler) ready(p *pending) bool {
	adapters, loaded := s.snap.Loaded[p.Model]
	if !loaded || s.unloading(p.Model, p.Adapter) {
		return false
	}
	return p.Adapter == "" || slices.Contains(adapters, p.Adapter)
}
