package config

import "github.com/laureltally/laureltally/ident"

// Adapter is a small set of weights that is loaded beside its model.
type Adapter struct {
	Name     ident.Adapter `json:"name"`
	MemoryMB int64         `json:"memory_mb"`
	// Priority replaces the priority of the model when it is set.
	Priority string `json:"priority,omitempty"`
}
