package replay

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// Policies makes the policies of one VM.
type Policies struct {
	Models   func() keepalive.Policy[ident.Model]
	Adapters func() keepalive.Policy[keepalive.AdapterKey]
}
