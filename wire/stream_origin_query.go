package wire

import "github.com/laureltally/laureltally/ident"

// StreamOriginQuery asks an agent which software version began a stream, as told by a
// StreamBegun. The reply is a StreamOrigin.
type StreamOriginQuery struct {
	Upstream ident.Upstream `cbor:"1,keyasint"`
	Request  string         `cbor:"2,keyasint"`
}

// Kind implements Message.
func (*StreamOriginQuery) Kind() Kind { return KindStreamOriginQuery }
