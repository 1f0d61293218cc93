package standin

import (
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// engineModel is one model in the memory of an engine.
type engineModel struct {
	phase    engine.Phase
	version  string
	memoryMB int64
	// adapters gives the memory of each loaded adapter, in MiB.
	adapters map[ident.Adapter]int64
	// running is how many requests use the model.
	running int
}

func (m *engineModel) usedMB() int64 {
	used := m.memoryMB
	for _, mb := range m.adapters {
		used += mb
	}
	return used
}
