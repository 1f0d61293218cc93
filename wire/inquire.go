package wire

import "github.com/laureltally/laureltally/ident"

// AttemptStatusRequest asks what became of an attempt. An agent that has never seen the
// attempt makes a tombstone for it before it answers, so that a late Dispatch is
// refused.
type AttemptStatusRequest struct {
	Attempt     ident.Attempt     `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*AttemptStatusRequest) Kind() Kind { return KindInquire }
