package wire

import "github.com/laureltally/laureltally/ident"

// Ticket grants a place at the weight store.
type Ticket struct {
	// Model is what to load, if the asker left the choice open.
	Model ident.Model `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (*Ticket) Kind() Kind { return KindTicket }
