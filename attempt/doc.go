// Package attempt names attempts and implements an agent's table of them, which
// records the attempts that are queued, running, ended, or must never run.
//
// Only the table decides that a dispatched attempt is reported as not run.
//
// # Late dispatches after a tombstone was dropped
//
// Memory is bounded, so tombstones and ended attempts are dropped after a
// retention period. This relies on no other VM's clock. An attempt's name holds
// the router's incarnation and an increasing number. When the table drops
// attempt n of a router incarnation, it raises that incarnation's floor to n.
// From then on it refuses every attempt of that incarnation that is numbered n
// or less and is not in the table. Floors are kept until the agent restarts.
// The agent then has a new incarnation, and dispatches that name the old one
// are refused.
//
// A dispatch sent before its request's deadline is not affected: a lower number
// was assigned before n, and attempt n ended a retention period ago, which is
// longer than any deadline. If a dispatch is refused below the floor all the
// same, for example because its router was paused, the refusal says "unknown",
// since the table no longer records whether a dropped attempt has run.
//
// Claimed attempts have their own number sequence, since they are retained much
// longer: the floor of one sequence does not apply to the other.
//
// A router sends each Dispatch once, on one stream, and never in 0-RTT data,
// which could be replayed. A refused Dispatch can therefore not arrive again.
package attempt
