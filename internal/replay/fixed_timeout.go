package replay

import (
	"time"

	"github.com/laureltally/laureltally/keepalive"
)

// FixedTimeout is the baseline policy that unloads each replica after the same
// idle time. It evicts the least recently used first.
type FixedTimeout[K comparable] struct {
	LRU[K]
	timeout time.Duration
}

// NewFixedTimeout returns the baseline policy with an idle timeout.
func NewFixedTimeout[K comparable](timeout time.Duration) *FixedTimeout[K] {
	return &FixedTimeout[K]{LRU: *NewLRU[K](), timeout: timeout}
}

var _ keepalive.Policy[string] = (*FixedTimeout[string])(nil)

// KeepUntil implements keepalive.Policy.
func (f *FixedTimeout[K]) KeepUntil(_ K, lastUsed time.Time) time.Time {
	return lastUsed.Add(f.timeout)
}
