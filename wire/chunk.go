package wire

import "github.com/laureltally/laureltally/ident"

// Chunk is the part of a response body that starts at byte Offset.
type Chunk struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	Offset  int64         `cbor:"2,keyasint"`
	Data    []byte        `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }
