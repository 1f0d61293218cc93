// Package quarantine finds what makes requests crash every server that runs them, and keeps
// such requests from further servers: a part that many prompts share, or a request that
// comes again whole.
//
// An Observer beside each engine records the traits of the requests that were running when
// the engine crashed; routers do so for servers without one. The records reach all routers,
// where a Detector looks for a trait that explains several crashes and was not answered
// soundly in between. A trait that one router has found is quarantined at all of them.
//
// All types are state machines without I/O that take the time as an argument. None is
// safe for concurrent use.
package quarantine
