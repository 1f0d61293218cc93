package wire

import "github.com/laureltally/laureltally/ident"

// Cancel asks an agent to stop an attempt whose caller has disconnected.
type Cancel struct {
	Attempt ident.Attempt `cbor:"1,keyasint"`
}

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }
