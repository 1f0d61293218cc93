package engine

// Tier is where the weights of a model are nearest to an engine.
type Tier string

// The tiers, nearest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)
