package ingress

import (
	"testing"

	"pgregory.net/rapid"
)

// The step after a failed attempt, over all situations: no request that may have
// run is repeated or refused unless it is repeatable, no answer that has begun is
// followed by another, and attempts stay within their bound.
func TestStepIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.Bool().Draw(t, "budget")
		s := situation{
			kind:       rapid.SampledFrom([]resultKind{callerGone, notSent, notRun, otherVM, failedAnswer, broken, timedOut}).Draw(t, "kind"),
			repeatable: rapid.Bool().Draw(t, "repeatable"), mayHaveRun: rapid.Bool().Draw(t, "mayHaveRun"),
			begun: rapid.Bool().Draw(t, "begun"), resumable: rapid.Bool().Draw(t, "resumable"),
			attempts: rapid.IntRange(0, 3).Draw(t, "attempts"), maxAttempts: rapid.IntRange(1, 3).Draw(t, "maxAttempts"),
			timeLeft: rapid.Bool().Draw(t, "timeLeft"), retryAllowed: func() bool { return budget },
		}
		got := s.next()
		switch got {
		case again:
			if s.mayHaveRun && !s.repeatable && !s.begun || s.begun && !s.resumable {
				t.Fatal("a request that may have run is sent again")
			}
			if s.attempts >= s.maxAttempts || !budget || !s.timeLeft || s.kind == timedOut {
				t.Fatal("sent again beyond its bounds")
			}
		case refuse:
			if s.mayHaveRun || s.begun {
				t.Fatal("a request that may have run is refused")
			}
		case giveUp, passOn:
			if s.begun {
				t.Fatal("a second answer")
			}
		case stop:
			if s.kind != callerGone {
				t.Fatal("a caller who is there gets nothing")
			}
		}
		if s.kind == callerGone && got != stop {
			t.Fatal("work for a caller who has left")
		}
	})
}
