package wire

import "github.com/laureltally/laureltally/ident"

// AttemptStatus is the reply to an AttemptStatusRequest. The state AttemptUnknown means
// that the agent has another incarnation or no longer has a record of the attempt.
type AttemptStatus struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	State   AttemptState  `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*AttemptStatus) Kind() Kind { return KindAttemptStatus }
