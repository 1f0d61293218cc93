package residency

import "time"

// promptSum is the sum of several prompts.
type promptSum struct {
	tokens int
	// prefill is the time to prefill them.
	prefill time.Duration
}

func (a promptSum) plus(b promptSum) promptSum {
	return promptSum{a.tokens + b.tokens, a.prefill + b.prefill}
}

func (a promptSum) minus(b promptSum) promptSum {
	return promptSum{a.tokens - b.tokens, a.prefill - b.prefill}
}

// promptOf returns the prompt of a request.
func (s *Scheduler) promptOf(_ time.Time, p *pending) promptSum {
	return promptSum{p.PromptTokens, s.prefill.duration(p.PromptTokens)}
}
