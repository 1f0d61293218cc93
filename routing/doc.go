// Package routing chooses the upstream VM for a request to a loaded model or to
// a service.
//
// Chooser chooses among candidates. Table maintains the candidates of every
// model and service from the reports of agents, and adjusts them for the
// requests that the router itself has sent since. Neither reads a clock or is
// safe for concurrent use. Reports are delayed and cache events may be lost, so
// both only rank candidates and never decide whether a request may run.
package routing
