package wire

import "github.com/laureltally/laureltally/ident"

// LoadPermit grants a place at the weight store.
type LoadPermit struct {
	// Model is what to load, if the asker left the choice open.
	Model ident.Model `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*LoadPermit) Kind() Kind { return KindTicket }
