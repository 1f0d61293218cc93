// Package inflight tracks the one order that an agent may have in flight at its
// engine, as a pure state machine.
//
// The response to a submission shows only whether the engine accepted the
// order. The outcome is read from the engine's state, and only from a state
// read that began after the response was received or known to be lost. An order
// whose response is lost stays in flight until a state read after the settle time
// shows the engine idle, because an order that is still in transit is then
// certain to be dropped. It ends earlier if it is a load and a state shows its
// effect. If a state shows it running, it counts as accepted.
//
// A new tracker assumes that an earlier incarnation of the agent left such an
// order in transit, so nothing is submitted before the settle time has passed.
package inflight
