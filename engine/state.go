package engine

import "github.com/laureltally/laureltally/ident"

// State is what an engine holds and does now. It is current, not lagging.
type State struct {
	// Instance changes whenever the engine restarts with empty memory.
	Instance string       `json:"instance"`
	Models   []ModelState `json:"models"`
	// RunningOrders lists the ids of accepted orders that have not ended.
	RunningOrders []string             `json:"running_orders"`
	Tiers         map[ident.Model]Tier `json:"tiers"`
	MemoryMB      int64                `json:"memory_mb"`
	UsedMB        int64                `json:"used_mb"`
}
