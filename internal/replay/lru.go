package replay

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/keepalive"
)

// LRU is the baseline policy that unloads a replica only when its memory is
// needed, the least recently used first.
type LRU[K comparable] struct {
	last map[K]time.Time
}

// NewLRU returns the baseline policy with an empty history.
func NewLRU[K comparable]() *LRU[K] { return &LRU[K]{last: make(map[K]time.Time)} }

var _ keepalive.Policy[string] = (*LRU[string])(nil)

// forever is longer than any replay.
const forever = 10 * 365 * 24 * time.Hour

// Observe implements keepalive.Policy.
func (l *LRU[K]) Observe(k K, now time.Time) { l.last[k] = now }

// KeepUntil implements keepalive.Policy.
func (l *LRU[K]) KeepUntil(_ K, lastUsed time.Time) time.Time { return lastUsed.Add(forever) }

// EvictOrder implements keepalive.Policy.
func (l *LRU[K]) EvictOrder(idle []K, _ time.Time) []K {
	out := slices.Clone(idle)
	slices.SortStableFunc(out, func(a, b K) int { return l.last[a].Compare(l.last[b]) })
	return out
}
