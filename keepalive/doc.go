// Package keepalive decides how long an idle replica stays loaded, which idle
// replica is unloaded first when memory is short, and which model is loaded
// ahead of its next request.
//
// A Keeper learns, for each key, the hazard of the next request: the chance for
// each span of idle time, and of the day, that a request ends it. A replica
// should be loaded while hazard times the worth of an avoided cold start
// exceeds the idle time spent. Keys are models or adapters.
//
// A Keeper is a pure state machine: it has no clock and is not safe for
// concurrent use.
package keepalive
