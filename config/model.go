package config

import "github.com/laureltally/laureltally/ident"

// Model is one model with its adapters.
type Model struct {
	Name     ident.Model    `json:"name"`
	Upstream ident.Upstream `json:"upstream"`
	// Priority is one of the document's priorities.
	Priority string `json:"priority"`
	// MaxReplicas is the maximum number of loaded replicas.
	MaxReplicas int `json:"max_replicas"`
	// MemoryMB is the accelerator memory of the weights, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// KVCacheMB is the memory reserved for the KV cache of each replica, in
	// addition to the weights, in MiB.
	KVCacheMB int64 `json:"kv_cache_mb"`
	// Concurrency is the number of requests that one replica serves concurrently.
	Concurrency int `json:"concurrency"`
	// NonIdempotent means that each request may be executed at most once.
	NonIdempotent bool      `json:"non_idempotent,omitempty"`
	Adapters      []Adapter `json:"adapters,omitempty"`
}
