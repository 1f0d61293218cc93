// Package inflight tracks the one order that an agent may have in flight at its
// engine, as a pure state machine.
//
// The response to a submission shows only whether the engine accepted the
// order. The outcome is read from the engine's state, and only from a state
// read that began after the response was received or known to be lost. An order
// whose response is lost stays in flight until a state shows its effect, or
// until the effect has been absent for the settle time, after which an order
// that is still in transit is certain to be dropped.
//
// A new tracker assumes that an earlier incarnation of the agent left such an
// order in transit, so nothing is submitted before the settle time has passed.
package inflight
