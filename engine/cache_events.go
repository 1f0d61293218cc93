package engine

// CacheEvents is a part of the event history. It may lag and be incomplete.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}
