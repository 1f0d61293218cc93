package idempotency

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// call is one request for a key: a pure state machine between the bucket's
// machine and the agents. Its driver submits the op of propose, passes the
// result to settled, and if that found another's claim asks the agent and
// passes its word to answered. Unless one of them returns an outcome, it
// proposes again.
type call struct{ op op }

func newCall(key, fingerprint digest) *call {
	return &call{op: op{kind: opClaim, key: key, fingerprint: fingerprint}}
}

// propose returns the op that claims the key for a new attempt, or that moves it
// there.
func (c *call) propose(attempt ident.Attempt, target Target) op {
	c.op.attempt, c.op.target = attempt, target
	return c.op
}

// look returns the op that asks who holds the key, other than the attempt that
// is known not to have run.
func (c *call) look() op {
	return op{kind: opLook, key: c.op.key, fingerprint: c.op.fingerprint, from: c.op.from}
}

// settled returns the outcome if the claim is this call's own.
func (c *call) settled(r result) (Outcome, bool) {
	if r.found != nil {
		return Outcome{}, false
	}
	return Outcome{Kind: Dispatch, Attempt: c.op.attempt, Target: c.op.target}, true
}

// answered takes the agent's word on the attempt that holds the claim. Only
// wire.AttemptNotRun lets the claim be moved; no word at all is an empty state.
func (c *call) answered(e entry, state wire.AttemptState, reason error) (Outcome, bool) {
	outcome := Outcome{Kind: Unknown, Attempt: e.Attempt, Target: e.target(), Reason: reason}
	switch state {
	case wire.AttemptNotRun:
		c.op.kind, c.op.from = opMove, e.Attempt
		return Outcome{}, false
	case wire.AttemptRunning, wire.AttemptFinished:
		outcome.Kind = Join
	}
	return outcome, true
}
