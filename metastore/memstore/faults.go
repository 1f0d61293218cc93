package memstore

import "time"

// Faults configures the faults of a store. The zero value injects none.
type Faults struct {
	// Outage makes all calls fail and ends all watches.
	Outage bool
	// Delay is the time that each call waits before it takes effect.
	Delay time.Duration
	// DropResponses is the number of upcoming writes that take effect but return a
	// *metastore.UnavailableError.
	DropResponses int
	// LateWrites is the number of upcoming writes that return a
	// *metastore.UnavailableError at once and are attempted after LateBy.
	LateWrites int
	LateBy     time.Duration
	// StaleMin and StaleMax bound the age of the state that a Get or List reads,
	// in versions. The age of each read is random within these bounds.
	StaleMin int
	StaleMax int
	// SilentWatches keeps watches open without delivering events.
	SilentWatches bool
}
