package engine

// CacheEvent tells that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted,omitempty"`
}
