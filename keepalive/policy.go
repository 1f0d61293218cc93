package keepalive

import "time"

// Policy decides on idle replicas of keys of type K.
type Policy[K comparable] interface {
	// Observe records that a request for k arrived at now.
	Observe(k K, now time.Time)
	// KeepUntil returns until when a replica of k stays that served its last
	// request, or was loaded ahead of one, at lastUsed. It is never earlier
	// than lastUsed.
	KeepUntil(k K, lastUsed time.Time) time.Time
	// EvictOrder returns the idle keys, first the one to unload first. The
	// argument is left as it is.
	EvictOrder(idle []K, now time.Time) []K
}
