// Package idempotency keeps a caller's Idempotency-Key from running a request twice.
//
// Before a keyed request is dispatched, its claim is written to a bucket object
// in the platform's service, on condition of the object's version: it names the
// attempt and the agent's incarnation. Whoever finds a claim asks that agent and
// joins the attempt, or moves the claim once the agent has said that the attempt
// never ran and never will.
//
// The rules that make it at most one run:
//
//   - Only the router that made an attempt dispatches it, once, and only after it
//     knows that the claim which names the attempt was in force.
//   - A claim is moved from an attempt only after the agent's own word that it
//     was not run, and on condition of the version in which it was found. An
//     agent that is gone or has restarted gives no such word: the answer is
//     unknown.
//   - A write whose answer was lost may still land, and then names an attempt that
//     nobody dispatches. It is found like any other claim.
package idempotency
