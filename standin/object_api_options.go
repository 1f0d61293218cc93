package standin

import (
	"time"

	"github.com/laureltally/laureltally/metastore/memstore"
)

// DefaultHeartbeat is the time between heartbeats on a watch.
const DefaultHeartbeat = time.Second

// ObjectAPIOptions configures an ObjectAPI.
type ObjectAPIOptions struct {
	// Store holds the objects; nil means a new store without rate limits.
	Store *memstore.Store
	// VMs is the list of VMs; nil means a new list without a lag.
	VMs *VMList
	// Heartbeat is the time between heartbeats on a watch. Zero means
	// DefaultHeartbeat.
	Heartbeat time.Duration
}
