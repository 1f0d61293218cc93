package standin

import (
	"time"

	"github.com/laureltally/laureltally/metastore/memstore"
)

// DefaultHeartbeat is the time between heartbeats on a watch.
const DefaultHeartbeat = time.Second

// ObjectAPIOptions configures an ObjectAPI.
type ObjectAPIOptions struct {
	// Store holds the objects; nil makes one without limits.
	Store *memstore.Store
	// VMs is the list of VMs; nil makes one without a lag.
	VMs *VMList
	// Heartbeat is the time between heartbeats on a watch. Zero takes
	// DefaultHeartbeat.
	Heartbeat time.Duration
}
