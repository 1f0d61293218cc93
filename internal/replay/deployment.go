package replay

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

// Deployment describes the size of one environment and its demand.
type Deployment struct {
	Name    string
	Regions []ident.Region
	// Replicas is the number of engine VMs, spread evenly over the regions.
	Replicas int
	// MemoryMB is the accelerator memory of one VM. HostMB and DiskMB are the
	// sizes of its weight caches in host memory and on disk.
	MemoryMB, HostMB, DiskMB int64
	Store                    config.WeightStore
	Aim                      config.Aim
	// MinAdapterLoad and MaxAdapterLoad bound the load time of an adapter.
	MinAdapterLoad, MaxAdapterLoad time.Duration
	Adapters                       int
	Groups                         []Group
}

// loadTime is the time to load weights from one tier at full speed.
type loadTime struct {
	base, perGB time.Duration
}

// loadTimes gives the load time from each tier.
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

// duration returns the time to load weights of memoryMB.
func (l loadTime) duration(memoryMB int64) time.Duration {
	return l.base + l.perGB*time.Duration(memoryMB)/mbPerGB
}
