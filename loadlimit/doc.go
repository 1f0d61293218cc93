// Package loadlimit limits the loads from the weight store: it issues permits
// so that loads start at the store's rate, run in parallel only as far as that
// does not slow them down, and start in the order of priority and deadline.
//
// The limit is soft. The limiter is one process, chosen by a rendezvous hash;
// it stores nothing and does not limit processes that cannot reach it. A
// requester that gets no response proceeds without a permit after a bounded
// time, see WaitLimit. Loss of the limiter only makes loads slower.
//
// A Limiter is a pure state machine: it has no clock and is not safe for
// concurrent use.
package loadlimit
