package wire

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// AllotmentRequest asks a sidecar that is one of a tenant's banks for a loan from the
// tenant's allotment. The reply is an AllotmentLoan.
type AllotmentRequest struct {
	Tenant ident.Tenant `cbor:"1,keyasint"`
	// PerSecond and Burst are the whole allotment, in the configuration of Revision, Restores
	// and Number, and Banks the number of banks that share it.
	PerSecond float64 `cbor:"2,keyasint"`
	Burst     float64 `cbor:"3,keyasint,omitempty"`
	Revision  uint64  `cbor:"4,keyasint"`
	Restores  uint64  `cbor:"5,keyasint,omitempty"`
	Number    uint64  `cbor:"6,keyasint,omitempty"`
	Banks     int     `cbor:"7,keyasint"`
	// Amount is what waiting requests cost and Least what the first of them needs, Ahead
	// what is expected to be needed soon in addition, and Refused the cost of requests that
	// were refused since the last AllotmentRequest.
	Amount  float64 `cbor:"8,keyasint,omitempty"`
	Least   float64 `cbor:"9,keyasint,omitempty"`
	Ahead   float64 `cbor:"10,keyasint,omitempty"`
	Refused float64 `cbor:"11,keyasint,omitempty"`
	// ListAge is the time since the router began to read its list of VMs. Closed tells that
	// by this list the sidecar is no longer a bank of the tenant; then nothing is lent, and
	// routers with older lists get nothing either.
	ListAge time.Duration `cbor:"12,keyasint,omitempty"`
	Closed  bool          `cbor:"13,keyasint,omitempty"`
}

// Kind implements Message.
func (*AllotmentRequest) Kind() Kind { return KindAllotmentRequest }
