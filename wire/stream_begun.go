package wire

import "github.com/laureltally/laureltally/ident"

// StreamBegun tells an agent which software version began a stream, for routers at which
// the caller may resume it. There is no reply.
type StreamBegun struct {
	Upstream ident.Upstream `cbor:"1,keyasint"`
	// Request is the id of the caller's attempt that got the first event.
	Request  string `cbor:"2,keyasint"`
	Software string `cbor:"3,keyasint"`
	// Archive asks the agent to keep this in the metadata store too.
	Archive bool `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*StreamBegun) Kind() Kind { return KindStreamBegun }
