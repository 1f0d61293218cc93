package replay

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Deployment is the size of one environment and the character of its demand.
type Deployment struct {
	Name    string
	Regions []ident.Region
	// Replicas is the number of engine VMs, spread evenly over the regions.
	Replicas int
	// MemoryMB is the accelerator memory of one VM, and HostMB its cache of
	// weights in main memory, DiskMB on disk.
	MemoryMB, HostMB, DiskMB int64
	Store                    config.WeightStore
	Aim                      config.Aim
	// AdapterMin and AdapterMax bound the load time of an adapter.
	AdapterMin, AdapterMax time.Duration
	Adapters               int
	Groups                 []Group
}

// loadTime is the time to load weights from one tier at full speed.
type loadTime struct {
	base, perGB time.Duration
}

// loadTimes gives the load time of each tier.
var loadTimes = map[engine.Tier]loadTime{
	engine.TierMemory: {base: 300 * time.Millisecond, perGB: 40 * time.Millisecond},
	engine.TierDisk:   {base: 800 * time.Millisecond, perGB: 200 * time.Millisecond},
	engine.TierRemote: {base: 2 * time.Second, perGB: 600 * time.Millisecond},
}

const (
	mbPerGB = 1024
	// unloadTime is how long an engine takes to unload an idle replica.
	unloadTime = 500 * time.Millisecond
)

// duration returns how long the weights of a model take from a tier.
func (l loadTime) duration(memoryMB int64) time.Duration {
	return l.base + l.perGB*time.Duration(memoryMB)/mbPerGB
}
