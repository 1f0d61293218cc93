// Package loadlimit hands out places at the weight store, so that loads start at the
// store's rate, run in parallel only as far as that costs no speed, and come in
// the order of priority and deadline.
//
// The gate is soft: it is one process that a rendezvous hash names, keeps
// nothing, and limits nobody that cannot reach it. A waiter that hears nothing
// proceeds after a bounded time, see Patience. Losing the gate costs speed only.
//
// A Gate is a pure state machine: it has no clock and is not safe for
// concurrent use.
package loadlimit
