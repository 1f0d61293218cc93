package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// LoadPermitRequest asks the gate of the weight store for a place. The asker closes
// the stream when the load has ended.
type LoadPermitRequest struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Environment ident.Environment `cbor:"2,keyasint"`
	Model       ident.Model       `cbor:"3,keyasint"`
	Adapter     ident.Adapter     `cbor:"4,keyasint,omitempty"`
	Priority    ident.Priority    `cbor:"5,keyasint"`
	Remaining   time.Duration     `cbor:"6,keyasint"`
	// Upstream is the service that the VM belongs to. An empty Model asks for
	// whatever is worth loading next.
	Upstream ident.Upstream `cbor:"7,keyasint,omitempty"`
}

// Kind implements Message.
func (*LoadPermitRequest) Kind() Kind { return KindTicketRequest }
