package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Snapshot is what an engine says of itself.
type Snapshot struct {
	// ReadAt is when it was asked for.
	ReadAt time.Time
	// VM is the id of the engine's server, if it was told.
	VM ident.VM
	// Started tells the starts of the engine apart, in Unix milliseconds.
	Started int64
	// Accepted counts the orders that the engine has accepted since its start.
	Accepted uint64
	// Busy is set while a load or unload of a model is carried out.
	Busy bool
	// Loaded holds the loaded models with their adapters.
	Loaded map[ident.Model][]ident.Adapter
	// LoadingAdapters adapters are on their way and take up slots already.
	LoadingAdapters []AdapterRef
	// Tiers tells of the models whose weights are at hand.
	Tiers map[ident.Model]engine.Tier
	// Running and Waiting count requests of all callers.
	Running, Waiting int
	// CacheUsed is the part of CacheTotal that can't be given up, in tokens.
	CacheUsed, CacheTotal int
	// Leaving is set when the engine will stop.
	Leaving bool
}
