// Package gossip distributes the reports of processes among routers, so that
// not every router has to subscribe to every agent.
//
// Each router keeps a log: every change of its view gets the next position. A
// process or model that changes again moves to the end, so the log never grows
// beyond the view. A router pulls from two peers. It sends each the position up
// to which it has read that peer's log, and gets only the changes since. A peer
// that restarted has a new log; the router then sends the versions of its
// reports and gets those that differ.
//
// A report that only changes counts is not distributed, see Options.
package gossip
