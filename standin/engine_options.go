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

// EngineOptions configures an Engine. A duration of zero means no delay.
type EngineOptions struct {
	Logger log.Interface
	// MemoryMB is the accelerator memory, in MiB. Zero means
	// DefaultEngineMemoryMB.
	MemoryMB int64
	// RefuseOvercommit rejects loads that don't fit into memory. Otherwise they
	// are accepted. Either way they are counted.
	RefuseOvercommit bool
	// ChecksFences rejects orders with a stale fencing token.
	ChecksFences bool
	// Models lists the models that the engine accepts; empty means all.
	Models []ident.Model
	// Tiers gives the tier of weights at the start; other weights are remote.
	Tiers map[ident.Model]engine.Tier
	// LoadTimes gives the load time by tier.
	LoadTimes map[engine.Tier]time.Duration
	// MemoryModels is how many unloaded models stay in host memory; the others
	// move to disk. Zero means DefaultMemoryModels.
	MemoryModels    int
	UnloadTime      time.Duration
	AdapterLoadTime time.Duration
	// WeightStore is the base URL of the store from which remote weights and
	// adapters are read, in addition to LoadTimes and AdapterLoadTime; empty means
	// none.
	WeightStore string
	// HTTP calls the weight store; nil means http.DefaultClient.
	HTTP *http.Client
	// MaxRunning is how many requests are in the batch at most. Zero means
	// DefaultMaxRunning.
	MaxRunning int
	// TokensPerSecond is the token rate that all requests of the batch share;
	// zero means no limit.
	TokensPerSecond float64
	// TimeToFirstToken is the time to first token. With a cached prefix it is a fifth.
	TimeToFirstToken time.Duration
	// LoadReportLag is the age of a load report.
	LoadReportLag time.Duration
	// CacheEventLag is the delay until cache events are visible. If
	// CacheEventDropInterval is n, every n-th event is dropped; zero drops none.
	CacheEventLag          time.Duration
	CacheEventDropInterval int
	// CachePrefixes is how many prompt prefixes stay cached. Zero means
	// DefaultCachePrefixes.
	CachePrefixes int
}
