package replay

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Arrival is one request.
type Arrival struct {
	At      time.Time
	Model   int
	Adapter ident.Adapter
	Region  ident.Region
	Service time.Duration
}
