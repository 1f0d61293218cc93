package wire

import "github.com/laureltally/laureltally/ident"

// DigestRequest asks a peer router for the reports that are newer than those
// the sender holds.
type DigestRequest struct {
	Have []DigestEntry `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*DigestRequest) Kind() Kind { return KindDigestRequest }

// DigestEntry names the newest report held of one VM.
type DigestEntry struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Incarnation ident.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}
