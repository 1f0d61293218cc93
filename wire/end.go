package wire

import "github.com/laureltally/laureltally/ident"

// End marks the end of a complete response body of Length bytes.
type End struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	Length  int64         `cbor:"2,keyasint"`
	// Unmarked is set if only the end of the upstream's connection marked the end of its
	// response: it may have been broken off.
	Unmarked bool `cbor:"3,keyasint,omitempty"`
}

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }
