package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// LoadPermitRequest asks for a permit for one load from the weight store. The requester
// closes the stream when the load has ended.
type LoadPermitRequest struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Environment ident.Environment `cbor:"2,keyasint"`
	Model       ident.Model       `cbor:"3,keyasint"`
	Adapter     ident.Adapter     `cbor:"4,keyasint,omitempty"`
	Priority    ident.Priority    `cbor:"5,keyasint"`
	Remaining   time.Duration     `cbor:"6,keyasint"`
	// Upstream is the service that the VM belongs to. If Model is empty, the
	// granting router chooses the model to load next.
	Upstream ident.Upstream `cbor:"7,keyasint,omitempty"`
	// ParallelLoads is the newest estimate that the requester has received in a
	// LoadPermit, or zero. A router that has none of its own starts from it.
	ParallelLoads int `cbor:"8,keyasint,omitempty"`
}

// Kind implements Message.
func (*LoadPermitRequest) Kind() Kind { return KindLoadPermitRequest }
