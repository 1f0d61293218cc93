package wire

import "time"

// Settle tells how a request went for which a place was reserved.
type Settle struct {
	// FirstEvent is the time from sending the request to its first event, or zero
	// if there was none.
	FirstEvent time.Duration `cbor:"1,keyasint,omitempty"`
	// WorstGap is the longest pause between two events.
	WorstGap time.Duration `cbor:"2,keyasint,omitempty"`
	// Took is the time to the end of a whole answer, or zero.
	Took time.Duration `cbor:"3,keyasint,omitempty"`
	// NotLoaded is set when the upstream said that it has not loaded the model.
	NotLoaded bool `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*Settle) Kind() Kind { return KindSettle }
