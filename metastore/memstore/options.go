package memstore

import "github.com/apex/log"

// DefaultHistory is how many changes a store keeps for watches.
const DefaultHistory = 100_000

// Options configures a Store. The zero value is a store without limits.
type Options struct {
	// Logger receives a line for each fault that is injected; nil discards.
	Logger log.Interface
	// ReadsPerSecond and WritesPerSecond limit the calls; zero means no limit.
	// A burst of one second's calls is let through.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// History is how many changes are kept for watches and stale reads. Zero
	// takes DefaultHistory.
	History int
	// Seed seeds the choice of how stale a read is.
	Seed uint64
}
