package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Reserved grants what a Reserve asked for.
type Reserved struct {
	// Waited is how long the request was queued.
	Waited time.Duration `cbor:"1,keyasint,omitempty"`
	// VM is the id that the place is at, which may have changed since the asker chose
	// the address. Empty means that the sidecar does not know it.
	VM ident.VM `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*Reserved) Kind() Kind { return KindReserved }
