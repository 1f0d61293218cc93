package config

import "github.com/laureltally/laureltally/ident"

// Adapter is a small set of weights that is loaded in addition to its model's.
type Adapter struct {
	Name     ident.Adapter `json:"name"`
	MemoryMB int64         `json:"memory_mb"`
	// Priority overrides the model's priority if it is set.
	Priority string `json:"priority,omitempty"`
}
