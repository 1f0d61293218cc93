// Package gossip spreads the reports of processes among routers, where not
// every router can take every agent's reports from itself.
//
// Each router keeps a log: every change of what it knows gets the next position,
// and a process or model that changes again moves to the end, so that the log
// never outgrows the view. A router pulls from two peers, tells each how far it
// has read that peer's log, and gets only what changed since. A peer that
// restarted has a new log; then the asker sends what it holds and gets what
// differs.
//
// A report that only counts differently is not worth telling: see Options.
package gossip
