// Package allotment keeps what the callers of a tenant request from all routers together
// within the tenant's allotment: a rate with a burst.
//
// Each tenant has several banks, sidecars that Homes chooses by rendezvous hashing. A Bank
// owns an equal share of the allotment, as a token bucket, and lends from it. A Borrower, in
// each router, asks the banks for loans and spends them on requests. A loan expires shortly
// after it was requested, so that a router that was paused or cut off can't spend it later.
//
// The load pattern that this is for: a tenant sends several times its allotment through any
// number of routers, while another one sends all that it may through a single router.
//
// All types are state machines without I/O that take the time as an argument. None is
// safe for concurrent use.
package allotment
