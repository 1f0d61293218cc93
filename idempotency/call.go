package idempotency

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// call is one request for a key: a pure state machine between the bucket's
// machine and the agents. Its driver submits the operation returned by propose
// and passes the result to ownOutcome. If another attempt holds the key, the
// driver queries the agent and passes the reported state to resolve. It
// proposes again until one of them returns an outcome.
type call struct{ operation operation }

func newCall(key, fingerprint digest) *call {
	return &call{operation: operation{kind: opClaim, key: key, fingerprint: fingerprint}}
}

// propose returns the operation that claims the key for a new attempt, or that
// moves the key to it.
func (c *call) propose(attempt ident.Attempt, target Target) operation {
	c.operation.attempt, c.operation.target = attempt, target
	return c.operation
}

// lookup returns the operation that looks up which attempt holds the key, other
// than the one that is known not to have run.
func (c *call) lookup() operation {
	return operation{kind: opLookup, key: c.operation.key, fingerprint: c.operation.fingerprint, from: c.operation.from}
}

// ownOutcome returns the outcome and true if this call has claimed the key.
func (c *call) ownOutcome(res result) (Outcome, bool) {
	if res.holder != nil {
		return Outcome{}, false
	}
	return Outcome{Kind: Dispatch, Attempt: c.operation.attempt, Target: c.operation.target}, true
}

// resolve handles the state that the agent reported for the attempt that holds
// the key; it is empty if the agent did not respond. Only wire.AttemptNotRun
// allows the key to be moved.
func (c *call) resolve(r record, state wire.AttemptState, reason error) (Outcome, bool) {
	outcome := Outcome{Kind: Unknown, Attempt: r.Attempt, Target: r.target(), Reason: reason}
	switch state {
	case wire.AttemptNotRun:
		c.operation.kind, c.operation.from = opMove, r.Attempt
		return Outcome{}, false
	case wire.AttemptRunning, wire.AttemptFinished:
		outcome.Kind = Join
	}
	return outcome, true
}
