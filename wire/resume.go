package wire

import "github.com/laureltally/laureltally/ident"

// Resume asks for the rest of an attempt's response, from byte Offset on.
type Resume struct {
	Attempt     ident.Attempt     `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Offset      int64             `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Resume) Kind() Kind { return KindResume }
