package engine

// Tier is the nearest storage tier that holds the weights of a model.
type Tier string

// The tiers, nearest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)
