package standin

import (
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// StoreFaults is the body of /control/faults of the object API.
type StoreFaults struct {
	Outage        bool            `json:"outage"`
	Delay         config.Duration `json:"delay"`
	DropResponses int             `json:"lose_answers"`
	LateWrites    int             `json:"late_writes"`
	LateBy        config.Duration `json:"late_by"`
	StaleMin      int             `json:"stale_min"`
	StaleMax      int             `json:"stale_max"`
	SilentWatches bool            `json:"silent_watches"`
}

func (f StoreFaults) storeFaults() memstore.Faults {
	return memstore.Faults{
		Outage:        f.Outage,
		Delay:         time.Duration(f.Delay),
		DropResponses: f.DropResponses,
		LateWrites:    f.LateWrites,
		LateBy:        time.Duration(f.LateBy),
		StaleMin:      f.StaleMin,
		StaleMax:      f.StaleMax,
		SilentWatches: f.SilentWatches,
	}
}
