package keepalive

import "github.com/laureltally/laureltally/ident"

// AdapterKey names an adapter of a model.
type AdapterKey struct {
	Model   ident.Model
	Adapter ident.Adapter
}
