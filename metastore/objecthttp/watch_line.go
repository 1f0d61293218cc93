package objecthttp

import "github.com/laureltally/laureltally/metastore"

// WatchLine is one line of a watch. A line without an event is a heartbeat.
type WatchLine struct {
	Event *metastore.Event `json:"event,omitempty"`
	// Problem, if set, is the reason why the server ends the watch.
	Problem *Problem `json:"problem,omitempty"`
}
