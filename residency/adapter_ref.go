package residency

import "github.com/laureltally/laureltally/ident"

// AdapterRef identifies an adapter of a model.
type AdapterRef struct {
	Model   ident.Model
	Adapter ident.Adapter
}
