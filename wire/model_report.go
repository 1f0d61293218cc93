package wire

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// ModelReport is one model on one upstream VM.
type ModelReport struct {
	Model ident.Model  `cbor:"1,keyasint"`
	Phase engine.Phase `cbor:"2,keyasint,omitempty"`
	Tier  engine.Tier  `cbor:"3,keyasint,omitempty"`
	// Fence is that of the held slot, or zero if the VM holds none.
	Fence    ident.Fence     `cbor:"4,keyasint,omitempty"`
	Running  int             `cbor:"5,keyasint,omitempty"`
	Waiting  int             `cbor:"6,keyasint,omitempty"`
	Adapters []ident.Adapter `cbor:"7,keyasint,omitempty"`
	// PreviousTier is the tier until TierSince, which is in Unix milliseconds by
	// the clock of the VM. Zero means that the tier is the first known.
	PreviousTier engine.Tier `cbor:"8,keyasint,omitempty"`
	TierSince    int64       `cbor:"9,keyasint,omitempty"`
	// ReadyIn is when a model that is being loaded is expected to be.
	ReadyIn time.Duration `cbor:"10,keyasint,omitempty"`
}

// SameState tells whether a model is as it was, apart from estimates and counts, which
// change all the time.
func (m ModelReport) SameState(o ModelReport) bool {
	return m.Model == o.Model && m.Phase == o.Phase && m.Tier == o.Tier && slices.Equal(m.Adapters, o.Adapters)
}

// gone tells whether it is the name of a model that is no longer reported.
func (m ModelReport) gone() bool { return m.Phase == "" && m.Tier == "" && m.Fence == 0 }
