package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Reserved grants the reservation that a Reserve asked for.
type Reserved struct {
	// Waited is the time that the request was queued.
	Waited time.Duration `cbor:"1,keyasint,omitempty"`
	// VM is the id of the VM that holds the reservation, which may have changed
	// since the requester chose the address. Empty means that the id is unknown.
	VM ident.VM `cbor:"2,keyasint,omitempty"`
	// Started is the start time of the VM's server in Unix milliseconds.
	Started int64 `cbor:"3,keyasint,omitempty"`
	// Load does not count the request itself.
	Load *EngineLoad `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (*Reserved) Kind() Kind { return KindReserved }
