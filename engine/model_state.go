package engine

import "github.com/laureltally/laureltally/ident"

// ModelState is one model as an engine reports it.
type ModelState struct {
	Model    ident.Model     `json:"model"`
	Phase    Phase           `json:"phase"`
	Version  string          `json:"version,omitempty"`
	Fence    ident.Fence     `json:"fence"`
	MemoryMB int64           `json:"memory_mb"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
}
