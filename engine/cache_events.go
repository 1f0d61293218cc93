package engine

// CacheEvents is a late and possibly incomplete part of the event history.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}
