package standin

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Defaults of an Engine.
const (
	DefaultEngineMemoryMB = 80 << 10
	DefaultMaxRunning     = 32
	DefaultMemoryModels   = 4
	DefaultCachePrefixes  = 256
)

// EngineOptions configures an Engine. A duration of zero means at once.
type EngineOptions struct {
	Logger log.Interface
	// MemoryMB is the accelerator memory, in MiB. Zero takes
	// DefaultEngineMemoryMB.
	MemoryMB int64
	// RefuseOvercommit refuses loads that don't fit. Otherwise they are
	// accepted, and the counters tell.
	RefuseOvercommit bool
	// ChecksFences refuses orders with an old fence.
	ChecksFences bool
	// Models lists the models that the engine knows; empty means all.
	Models []ident.Model
	// Tiers is where weights are at the start; others are remote.
	Tiers map[ident.Model]engine.Tier
	// LoadTimes gives the time of a load by tier.
	LoadTimes map[engine.Tier]time.Duration
	// MemoryModels is how many unloaded models stay in host memory, the others
	// fall to disk. Zero takes DefaultMemoryModels.
	MemoryModels    int
	UnloadTime      time.Duration
	AdapterLoadTime time.Duration
	// WeightStore is the base URL of the store that remote weights and adapters
	// are read from; empty means that only LoadTimes count.
	WeightStore string
	// HTTP calls the weight store; nil takes http.DefaultClient.
	HTTP *http.Client
	// MaxRunning is how many requests are in the batch at most. Zero takes
	// DefaultMaxRunning.
	MaxRunning int
	// TokensPerSecond is shared by all requests of the batch; zero means no
	// limit.
	TokensPerSecond float64
	// TimeToFirstToken is the time to the first token; a cached prefix takes a fifth.
	TimeToFirstToken time.Duration
	// LoadReportLag is how old a load report is.
	LoadReportLag time.Duration
	// CacheEventLag is how late cache events are seen, and CacheEventDropInterval drops every so
	// manieth of them; zero drops none.
	CacheEventLag          time.Duration
	CacheEventDropInterval int
	// CachePrefixes is how many prompt prefixes stay cached. Zero takes
	// DefaultCachePrefixes.
	CachePrefixes int
}
