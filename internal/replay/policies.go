package replay

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// Policies creates the keep-alive policies of one VM.
type Policies struct {
	// Models gets a function that returns the share of an accelerator's memory
	// that a model takes.
	Models   func(share func(ident.Model) float64) keepalive.Policy[ident.Model]
	Adapters func() keepalive.Policy[keepalive.AdapterKey]
}
