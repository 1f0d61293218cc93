package replay

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// Policies makes the policies of one VM.
type Policies struct {
	// Models is told which share of an accelerator each model takes.
	Models   func(share func(ident.Model) float64) keepalive.Policy[ident.Model]
	Adapters func() keepalive.Policy[keepalive.AdapterKey]
}
