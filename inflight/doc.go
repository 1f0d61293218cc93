// Package inflight tracks the one order that an agent may have open at its
// engine, as a pure state machine.
//
// The answer to a submission says only whether the engine took the order. The
// outcome is read from the engine's state, and only from a state read that
// began after the answer, or the loss of the answer, was known. An order whose
// answer is lost stays open until a state shows its effect, or until it has been
// absent for the settle time, after which an order that is still in transit is
// known to be dropped.
//
// A new book assumes that an earlier incarnation of the agent left such an
// order behind, so nothing is submitted before the settle time has passed.
package inflight
