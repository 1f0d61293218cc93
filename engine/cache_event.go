package engine

// CacheEvent reports that a prompt prefix was added to the cache or evicted.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted,omitempty"`
}
