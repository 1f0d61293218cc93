package wire

import "github.com/laureltally/laureltally/ident"

// End marks the end of a complete response body of Length bytes.
type End struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	Length  int64         `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }
