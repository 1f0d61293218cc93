package engine

import "github.com/laureltally/laureltally/ident"

// Order asks the engine to load or unload a model or an adapter. An engine
// that checks fences refuses an order whose fence is lower than one it has seen
// for the model; other engines ignore the fence.
type Order struct {
	ID      string        `json:"id"`
	Kind    OrderKind     `json:"kind"`
	Model   ident.Model   `json:"model"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
	// Version names the weights of a load; empty means the engine's own choice.
	Version  string      `json:"version,omitempty"`
	Fence    ident.Fence `json:"fence"`
	MemoryMB int64       `json:"memory_mb"`
}
