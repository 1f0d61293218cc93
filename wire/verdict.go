package wire

import "github.com/laureltally/laureltally/ident"

// Verdict answers an Inquire. A State of unknown means that the incarnation
// asked for is not the agent's.
type Verdict struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	State   AttemptState  `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*Verdict) Kind() Kind { return KindVerdict }
