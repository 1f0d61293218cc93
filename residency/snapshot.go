package residency

import (
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

// Snapshot is the state of an engine as reported by it, together with its VM id.
type Snapshot struct {
	// ReadAt is when the snapshot was requested.
	ReadAt time.Time
	// VM is the id of the engine's VM in the VM list, or empty while it is unknown.
	VM ident.VM
	// Started is the start time of the engine in Unix milliseconds, which identifies
	// the incarnation.
	Started int64
	// Accepted is the number of orders that the engine has accepted since its start.
	Accepted uint64
	// Busy is set while the engine loads or unloads a model.
	Busy bool
	// Loaded holds the loaded models with their adapters.
	Loaded map[ident.Model][]ident.Adapter
	// LoadingAdapters are being loaded and occupy slots already.
	LoadingAdapters []AdapterRef
	// Tiers holds the tier of each model whose weights are in memory or on disk.
	Tiers map[ident.Model]engine.Tier
	// Running and Waiting count the requests of all callers.
	Running, Waiting int
	// CacheUsed is the part of CacheTotal that can't be evicted, in tokens.
	CacheUsed, CacheTotal int
	// Runs are the requests that the engine runs, if it reports them.
	Runs []Run
	// Slowness is what the engine's server stated of its machine with the report, or 0.
	Slowness float64
	// Leaving is set when the engine is about to stop.
	Leaving bool
	// RequestLimit is the limit that the report's response named, if it did.
	RequestLimit serving.RequestLimit
}
