// Package idempotency prevents a request with an Idempotency-Key from running
// twice.
//
// Before a request with a key is dispatched, a record of the key is written to
// a bucket object in the platform's store, conditional on the version of the
// object. The record holds the attempt and the VM and incarnation of the agent.
// A router that finds a record queries that agent and joins the attempt, or
// moves the key to a new attempt once the agent has reported that the recorded
// one has not run and never will.
//
// These rules ensure that a request runs at most once:
//
//   - Only the router that made an attempt dispatches it, once, and only after it
//     has confirmed that the record with the attempt was in force.
//   - A key is moved from an attempt only after the agent itself has reported that
//     the attempt did not run, and conditional on the version in which the record
//     was found. An agent that is unreachable or has restarted cannot report this:
//     the outcome is unknown.
//   - A write whose response was lost may still take effect, and then records an
//     attempt that nobody dispatches. It is handled like any other record.
package idempotency
