package serving

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Model is the configuration of one model of an engine.
type Model struct {
	Name ident.Model
	// MemoryMB is the accelerator memory of its weights, in MB.
	MemoryMB float64
	// AdapterMB is the accelerator memory of one adapter, in MB.
	AdapterMB float64
	// Adapters is the number of adapters that exist.
	Adapters int
	// RemoteLoad, DiskLoad and MemoryLoad are the load times from the weight store,
	// the VM's disk and the VM's memory.
	RemoteLoad, DiskLoad, MemoryLoad time.Duration
}

// LoadTime returns the load time from a tier.
func (m *Model) LoadTime(t engine.Tier) time.Duration {
	switch t {
	case engine.TierMemory:
		return m.MemoryLoad
	case engine.TierDisk:
		return m.DiskLoad
	}
	return m.RemoteLoad
}
