package config

import "github.com/laureltally/laureltally/ident"

// Model is one model with its adapters.
type Model struct {
	Name     ident.Model    `json:"name"`
	Upstream ident.Upstream `json:"upstream"`
	// Priority is one of the document's priorities.
	Priority string `json:"priority"`
	// MaxReplicas is the decided limit of loaded replicas.
	MaxReplicas int `json:"max_replicas"`
	// MemoryMB is the accelerator memory of the weights, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// KVCacheMB is reserved beside the weights of each replica, in MiB.
	KVCacheMB int64 `json:"kv_cache_mb"`
	// Concurrency is how many requests one replica serves at once.
	Concurrency int `json:"concurrency"`
	// NonIdempotent marks requests that may run at most once.
	NonIdempotent bool      `json:"non_idempotent,omitempty"`
	Adapters      []Adapter `json:"adapters,omitempty"`
}
