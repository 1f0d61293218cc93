package keepalive

import "time"

// Policy decides when idle replicas of keys of type K are unloaded.
type Policy[K comparable] interface {
	// Observe records that a request for k arrived at now.
	Observe(k K, now time.Time)
	// KeepUntil returns until when to keep a replica of k loaded that served its
	// last request, or was loaded ahead of one, at lastUsed. It is never before
	// lastUsed.
	KeepUntil(k K, lastUsed time.Time) time.Time
	// EvictOrder returns the idle keys in the order in which to unload them. It
	// does not modify its argument.
	EvictOrder(idle []K, now time.Time) []K
}
