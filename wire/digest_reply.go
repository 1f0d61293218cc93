package wire

import "github.com/laureltally/laureltally/ident"

// GossipReply carries the reports that the asker lacked.
type GossipReply struct {
	Reports []Report `cbor:"1,keyasint,omitempty"`
	// LogIncarnation is the incarnation of the sender's log. If it is not the one asked
	// for, the reply is empty and the asker sends what it has.
	LogIncarnation ident.Incarnation `cbor:"2,keyasint,omitempty"`
	// Position is how far in the log the reply reaches.
	Position uint64 `cbor:"3,keyasint,omitempty"`
	// More tells that the reply was cut for its size.
	More bool `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*GossipReply) Kind() Kind { return KindDigestReply }
