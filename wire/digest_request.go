package wire

import "github.com/laureltally/laureltally/ident"

// GossipRequest asks a peer router for the reports that are newer than those
// the sender holds: all that changed at the peer after Position of its Log, or,
// with a Log of zero, all that differ from Have.
type GossipRequest struct {
	Have []GossipEntry `cbor:"1,keyasint,omitempty"`
	// LogIncarnation is the incarnation of the peer's log that Position is in.
	LogIncarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
	Position       uint64            `cbor:"3,keyasint,omitempty"`
	// Want names processes whose whole reports are asked for.
	Want []ident.VM `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*GossipRequest) Kind() Kind { return KindDigestRequest }

// GossipEntry names the newest report held of one VM.
type GossipEntry struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}
