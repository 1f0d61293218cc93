// Package requestlimit keeps what all routers together send to a server within the limit
// that the server names: a number of requests a second, for as long as it names it.
//
// Pace spaces the requests of an engine whose sidecar grants every one. Share divides a
// limit among routers that can't ask a sidecar. Board passes on what one router has learned
// from a response, so that all routers know it.
//
// All types are state machines without I/O that take the time as an argument. None is
// safe for concurrent use.
package requestlimit
