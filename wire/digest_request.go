package wire

import "github.com/laureltally/laureltally/ident"

// DigestRequest asks a peer router for the reports that are newer than those
// the sender holds: all that changed at the peer after Position of its Log, or,
// with a Log of zero, all that differ from Have.
type DigestRequest struct {
	Have []DigestEntry `cbor:"1,keyasint,omitempty"`
	// Log is the incarnation of the peer's log that Position is in.
	Log      ident.Incarnation `cbor:"2,keyasint,omitempty"`
	Position uint64            `cbor:"3,keyasint,omitempty"`
	// Want names processes whose whole reports are asked for.
	Want []ident.VM `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*DigestRequest) Kind() Kind { return KindDigestRequest }

// DigestEntry names the newest report held of one VM.
type DigestEntry struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}
