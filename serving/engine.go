package serving

import "github.com/laureltally/laureltally/ident"

// Engine describes the model engines of a service. All its VMs are alike.
type Engine struct {
	// MemoryMB is the accelerator memory for weights and adapters, in megabytes.
	MemoryMB float64
	// AdapterSlots is how many adapters an engine holds, of all its models.
	AdapterSlots int
	// Concurrency is how many requests an engine batches at once.
	Concurrency int
	// CacheTokens is the size of the prompt and generation cache, in tokens.
	CacheTokens int
	// LoadsPerSecond is how many loads the weight store starts, over all VMs.
	LoadsPerSecond float64
	// Models is in the operator's order.
	Models []Model

	byName map[ident.Model]int
}

// Index prepares Model for use; it is called once after Models is set.
func (e *Engine) Index() {
	e.byName = make(map[ident.Model]int, len(e.Models))
	for i := range e.Models {
		e.byName[e.Models[i].Name] = i
	}
}

// Model returns a model by its name, or nil.
func (e *Engine) Model(name ident.Model) *Model {
	i, ok := e.byName[name]
	if !ok {
		return nil
	}
	return &e.Models[i]
}
