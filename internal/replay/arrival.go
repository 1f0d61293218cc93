package replay

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Arrival is one request of the workload. Service is its service time.
type Arrival struct {
	At      time.Time
	Model   int
	Adapter ident.Adapter
	Region  ident.Region
	Service time.Duration
}
