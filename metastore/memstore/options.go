package memstore

import "github.com/apex/log"

// DefaultHistory is the number of changes kept for watches and stale reads.
const DefaultHistory = 100_000

// Options configures a Store. The zero value is a store without limits.
type Options struct {
	// Logger receives a message when faults are set and when a late write is
	// attempted; nil discards them.
	Logger log.Interface
	// ReadsPerSecond and WritesPerSecond limit the calls; zero means no limit.
	// Bursts of up to one second's calls are allowed.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// History is the minimum number of changes kept for watches and stale reads.
	// Zero means DefaultHistory.
	History int
	// Seed seeds the random choice of how old stale reads are.
	Seed uint64
}
