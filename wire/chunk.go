package wire

import "github.com/laureltally/laureltally/ident"

// Chunk is a part of an answer's body that starts at Offset.
type Chunk struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
	Offset  int64         `cbor:"2,keyasint"`
	Data    []byte        `cbor:"3,keyasint"`
}

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }
