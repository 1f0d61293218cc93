package wire

import "time"

// Reserved grants what a Reserve asked for.
type Reserved struct {
	// Waited is how long the request was queued.
	Waited time.Duration `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Reserved) Kind() Kind { return KindReserved }
