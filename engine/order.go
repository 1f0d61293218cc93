package engine

import "github.com/laureltally/laureltally/ident"

// Order asks the engine to load or unload a model or an adapter. An engine that
// checks fencing tokens refuses an order with a lower token than one it has
// received for the model; other engines ignore the token.
type Order struct {
	ID      string        `json:"id"`
	Kind    OrderKind     `json:"kind"`
	Model   ident.Model   `json:"model"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
	// Version is the version of the weights to load; empty leaves the choice to the
	// engine.
	Version  string      `json:"version,omitempty"`
	Fence    ident.Fence `json:"fence"`
	MemoryMB int64       `json:"memory_mb"`
}
