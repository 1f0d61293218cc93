// Package attempt names attempts and keeps an agent's table of them: which were
// accepted, which have begun, which ended, and which must never run.
//
// The table is the only place that may say "not run" of a dispatched attempt.
//
// # Why a late dispatch is refused after its tombstone was dropped
//
// Memory is bounded, so tombstones and ended attempts are dropped after a
// retention. No clock of another VM is trusted for it. An attempt's name holds
// the router's incarnation and a number that only grows. When the table drops
// the attempt with number n of some router's incarnation, it raises that
// incarnation's floor to n, and from then on refuses every attempt of it that is
// numbered n or less and is not in the table. The floor is kept for the whole
// life of the agent; after a restart the agent's own incarnation differs, so
// that a dispatch which was decided before is refused for that.
//
// An honest dispatch is not hurt: it is sent before its request's deadline, and
// a lower number was given out earlier than n, which itself ended a retention
// ago. The retention is longer than any deadline. Should it happen all the same,
// for instance because a router was paused, the refusal says "unknown", as the
// table no longer tells whether a dropped attempt has run.
//
// Claimed attempts are numbered apart from the others, since they are kept for
// much longer: the floor of one sequence says nothing of the other.
//
// A router sends each Dispatch once, on one stream, and never in 0-RTT data,
// which could be replayed. A refusal is therefore the end of the only copy.
package attempt
