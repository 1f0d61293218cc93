package wire

import "github.com/laureltally/laureltally/ident"

// LoadPermit grants a permit for one load from the weight store.
type LoadPermit struct {
	// Model is the model to load, if the request left the choice open.
	Model ident.Model `cbor:"1,keyasint,omitempty"`
	// ParallelLoads is the granting router's estimate of how many loads the weight
	// store runs at full speed concurrently.
	ParallelLoads int `cbor:"2,keyasint,omitempty"`
}

// Kind implements Message.
func (*LoadPermit) Kind() Kind { return KindLoadPermit }
