package serving

import "github.com/laureltally/laureltally/ident"

// Engine describes the model engines of a service. All VMs of a service are identical.
type Engine struct {
	// MemoryMB is the accelerator memory for weights and adapters, in MB.
	MemoryMB float64
	// AdapterSlots is the number of adapters that an engine can hold, over all
	// models.
	AdapterSlots int
	// Concurrency is the number of requests that an engine can batch.
	Concurrency int
	// CacheTokens is the size of the KV cache for prompts and generation, in tokens.
	CacheTokens int
	// LoadsPerSecond is the rate of loads that the weight store can start, over all
	// VMs.
	LoadsPerSecond float64
	// Models is in the order of the configuration.
	Models []Model

	byName map[ident.Model]int
}

// Index builds the index for Model; it must be called once after Models is set.
func (e *Engine) Index() {
	e.byName = make(map[ident.Model]int, len(e.Models))
	for i := range e.Models {
		e.byName[e.Models[i].Name] = i
	}
}

// Model returns the model with the given name, or nil.
func (e *Engine) Model(name ident.Model) *Model {
	i, ok := e.byName[name]
	if !ok {
		return nil
	}
	return &e.Models[i]
}

// ExceedsCache reports whether a prompt, in tokens, does not fit into the cache of an engine. A
// cache of unknown size is zero.
func (e *Engine) ExceedsCache(promptTokens int) bool {
	return e.CacheTokens > 0 && promptTokens > e.CacheTokens
}
