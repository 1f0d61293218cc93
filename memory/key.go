package memory

import "github.com/laureltally/laureltally/ident"

// Key identifies one reservation: a model with its KV cache, or one of its
// adapters.
type Key struct {
	Model   ident.Model
	Adapter ident.Adapter
}
