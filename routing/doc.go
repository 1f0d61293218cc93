// Package routing chooses the upstream VM for a request to a loaded model or to
// a plain service.
//
// Chooser is the choice among candidates. Table keeps the candidates of every
// model and service from the reports of agents, and corrects them for what the
// router itself has sent since. Neither reads a clock or is safe for concurrent
// use. Reports lag and cache events have gaps: both only order candidates and
// never decide whether a request may run.
package routing
