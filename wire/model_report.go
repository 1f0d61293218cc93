package wire

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// ModelReport is the state of one model on one upstream VM.
type ModelReport struct {
	Model ident.Model  `cbor:"1,keyasint"`
	Phase engine.Phase `cbor:"2,keyasint,omitempty"`
	Tier  engine.Tier  `cbor:"3,keyasint,omitempty"`
	// Fence is the fencing token of the VM's slot, or zero if it has none.
	Fence    ident.Fence     `cbor:"4,keyasint,omitempty"`
	Running  int             `cbor:"5,keyasint,omitempty"`
	Waiting  int             `cbor:"6,keyasint,omitempty"`
	Adapters []ident.Adapter `cbor:"7,keyasint,omitempty"`
	// PreviousTier is the tier until TierSince, which is in Unix milliseconds by
	// the clock of the VM. If TierSince is zero, Tier is the first known tier.
	PreviousTier engine.Tier `cbor:"8,keyasint,omitempty"`
	TierSince    int64       `cbor:"9,keyasint,omitempty"`
	// ReadyIn is the expected time until a loading model is loaded.
	ReadyIn time.Duration `cbor:"10,keyasint,omitempty"`
}

// SameState reports whether two reports agree in model, phase, tier and adapters. It
// ignores estimates and counts, which change all the time.
func (m ModelReport) SameState(o ModelReport) bool {
	return m.Model == o.Model && m.Phase == o.Phase && m.Tier == o.Tier && slices.Equal(m.Adapters, o.Adapters)
}

// removed reports whether m marks a model that is no longer reported.
func (m ModelReport) removed() bool { return m.Phase == "" && m.Tier == "" && m.Fence == 0 }
