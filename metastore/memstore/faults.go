package memstore

import "time"

// Faults are the switches of a store. The zero value is a healthy store.
type Faults struct {
	// Outage fails all calls and ends all watches.
	Outage bool
	// Delay is added to each call before it takes effect.
	Delay time.Duration
	// DropResponses is how many of the next writes take effect and yet end in a
	// *metastore.UnavailableError.
	DropResponses int
	// LateWrites is how many of the next writes end in a
	// *metastore.UnavailableError at once and are tried LateBy later.
	LateWrites int
	LateBy     time.Duration
	// StaleMin and StaleMax bound how many versions old the state is that a Get
	// or List is served from. Each read draws its own number.
	StaleMin int
	StaleMax int
	// SilentWatches keeps watches open without delivering anything.
	SilentWatches bool
}
