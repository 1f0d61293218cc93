package wire

import "github.com/laureltally/laureltally/ident"

// GossipReply carries the reports that the requester lacks.
type GossipReply struct {
	Reports []Report `cbor:"1,keyasint,omitempty"`
	// LogIncarnation is the incarnation of the sender's log. If it differs from the one
	// requested, the reply is empty and the requester sends the list Have.
	LogIncarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
	// Position is the log position up to which the reply is complete.
	Position uint64 `cbor:"3,keyasint,omitempty"`
	// More is set if the reply was truncated because of its size.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*GossipReply) Kind() Kind { return KindGossipReply }
