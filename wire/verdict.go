package wire

import "github.com/laureltally/laureltally/ident"

// AttemptStatus answers an Inquire. A State of unknown means that the incarnation
// asked for is not the agent's.
type AttemptStatus struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	State   AttemptState  `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*AttemptStatus) Kind() Kind { return KindVerdict }
