// Package keepalive decides how long an idle replica stays loaded, which idle
// replica is unloaded first when memory is short, and which model is loaded
// ahead of its next request.
//
// A HistoryPolicy estimates, for each key, the hazard of the next request: the
// probability, per span of idle time and per slot of the day, that a request
// ends the idle time. A replica should stay loaded while the hazard times the
// cost of the avoided cold start exceeds the idle time spent. Keys are models
// or adapters.
//
// A HistoryPolicy is a pure state machine: it has no clock and is not safe for
// concurrent use.
package keepalive
