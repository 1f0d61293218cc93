package wire

import "github.com/laureltally/laureltally/ident"

// Abort ends a response that cannot be completed.
type Abort struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	Code    Code          `cbor:"2,keyasint"`
	Detail  string        `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*Abort) Kind() Kind { return KindAbort }
