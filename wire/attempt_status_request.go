package wire

import "github.com/laureltally/laureltally/ident"

// AttemptStatusRequest asks an agent for the state of an attempt. An agent that has not
// received the attempt records a tombstone for it before it replies, so that a
// late Dispatch is refused.
type AttemptStatusRequest struct {
	Attempt     ident.Attempt     `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*AttemptStatusRequest) Kind() Kind { return KindAttemptStatusRequest }
