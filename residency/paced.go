package residency

import (
	"slices"
	"time"
)

// limit returns how many requests the engine may run.
func (s *Scheduler) limit() float64 {
	if s.paced.inForce() {
		return min(s.paced.capacity.limit(s.paced.feedback.scale()*prefillTarget), s.concurrencyLimit.maxValue)
	}
	return s.concurrencyLimit.value
}

// pacedWait returns how long the prompt of a request has to wait behind ahead tokens of other
// prompts, and false if it is too long for the engine.
func (s *Scheduler) pacedWait(now time.Time, p *pending, ahead int) (time.Duration, bool) {
	streams, gap := 0, time.Duration(0)
	for _, q := range s.requests {
		if q.isGranted() && q.MaxEventGap > 0 {
			streams++
			if gap == 0 || q.MaxEventGap < gap {
				gap = q.MaxEventGap
			}
		}
	}
	single := singleShare
	if !s.ready(p) || now.Sub(p.arrivedAt) >= p.MaxWait/2 {
		single = pauseShare
	}
	if float64(p.PromptTokens) > s.paced.longPrompt.value {
		single = max(single, longShare)
	}
	return s.paced.wait(now, p.PromptTokens, ahead, streams, gap, single)
}

// promptsAhead returns the prompt tokens of the other requests that wait and whose model and
// adapter are loaded.
func (s *Scheduler) promptsAhead(p *pending) int {
	n := 0
	for _, q := range s.requests {
		if !q.isGranted() && q != p && s.ready(q) {
			n += q.PromptTokens
		}
	}
	return n
}

// refuseTooLong refuses the waiting requests whose prompts are too long for the pace of the
// engine, which would keep all others waiting.
func (s *Scheduler) refuseTooLong(now time.Time) []Action {
	if !s.paced.inForce() {
		return nil
	}
	var out []Action
	s.requests = slices.DeleteFunc(s.requests, func(p *pending) bool {
		if p.isGranted() || !s.ready(p) {
			return false
		}
		_, ok := s.pacedWait(now, p, 0)
		if !ok {
			out = append(out, &Refuse{ID: p.ID, RetryAfter: s.runTime, Reason: ReasonPromptTooLong})
		}
		return !ok
	})
	return out
}
