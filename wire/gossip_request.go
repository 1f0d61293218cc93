package wire

import "github.com/laureltally/laureltally/ident"

// GossipRequest asks a peer router for the reports that are newer than the sender's:
// all that changed at the peer after Position of its log, or, if LogIncarnation is
// zero, all that differ from Have.
type GossipRequest struct {
	Have []GossipEntry `cbor:"1,keyasint,omitempty"`
	// LogIncarnation is the incarnation of the peer's log to which Position refers.
	LogIncarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
	Position       uint64            `cbor:"3,keyasint,omitempty"`
	// Want lists the processes whose full reports are requested.
	Want []ident.VM `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*GossipRequest) Kind() Kind { return KindGossipRequest }

// GossipEntry identifies the newest report that the sender has of one VM.
type GossipEntry struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}
