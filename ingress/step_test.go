package ingress

import (
	"testing"

	"pgregory.net/rapid"
)

// Checks the next step over all states: a request that may have run is not retried or
// refused unless it is retryable, a response that has begun is not followed by
// another one, and the number of attempts stays within its bound.
func TestNextStepIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Bool().Draw(t, "budget")
		s := attemptState{
			kind:      rapid.SampledFrom([]outcome{outcomeCallerGone, outcomeNotSent, outcomeNotRun, outcomeOtherVM, outcomeFailedResponse, outcomeBroken, outcomeTimedOut}).Draw(t, "kind"),
			retryable: rapid.Bool().Draw(t, "repeatable"), mayHaveRun: rapid.Bool().Draw(t, "mayHaveRun"),
			begun: rapid.Bool().Draw(t, "begun"), resumable: rapid.Bool().Draw(t, "resumable"),
			attempts: rapid.IntRange(0, 3).Draw(t, "attempts"), maxAttempts: rapid.IntRange(1, 3).Draw(t, "maxAttempts"),
			timeLeft: rapid.Bool().Draw(t, "timeLeft"), retryAllowed: func() bool { return budget },
		}
		got := s.next()
		switch got {
		case stepRetry:
			if s.mayHaveRun && !s.retryable && !s.begun || s.begun && !s.resumable {
				t.Fatal("a request that may have run is retried")
			}
			if s.attempts >= s.maxAttempts || !budget || !s.timeLeft || s.kind == outcomeTimedOut {
				t.Fatal("retried beyond the bounds")
			}
		case stepRefuse:
			if s.mayHaveRun || s.begun {
				t.Fatal("a request that may have run is refused")
			}
		case stepFail, stepPassOn:
			if s.begun {
				t.Fatal("a second response is sent")
			}
		case stepNone:
			if s.kind != outcomeCallerGone {
				t.Fatal("a connected caller gets no response")
			}
		}
		if s.kind == outcomeCallerGone && got != stepNone {
			t.Fatal("a step other than none for a disconnected caller")
		}
	})
}
