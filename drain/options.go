package drain

import (
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// DefaultPatience is how long an order is tried while the platform is away.
const DefaultPatience = 20 * time.Second

// Options configures Orders.
type Options struct {
	Store metastore.Store
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// NewID draws the ids of audit records; nil takes random ones.
	NewID func() string
	// Patience is how long an order is tried while the platform is away. Zero
	// takes DefaultPatience.
	Patience time.Duration
}
