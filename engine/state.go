package engine

import "github.com/laureltally/laureltally/ident"

// State is the current state of an engine. Unlike LoadReport, it does not lag.
type State struct {
	// Instance changes whenever the engine restarts, which empties its memory.
	Instance string       `json:"instance"`
	Models   []ModelState `json:"models"`
	// RunningOrders lists the ids of accepted orders that have not finished.
	RunningOrders []string             `json:"running_orders"`
	Tiers         map[ident.Model]Tier `json:"tiers"`
	MemoryMB      int64                `json:"memory_mb"`
	UsedMB        int64                `json:"used_mb"`
}
