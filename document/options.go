package document

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/metastore"
)

// DefaultPatience is how long a write is tried while the platform is away.
const DefaultPatience = 20 * time.Second

// Options configures a Repository.
type Options struct {
	Store metastore.Store
	// Logger receives what goes wrong beside the write itself; nil takes
	// log.Log.
	Logger log.Interface
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// NewID draws the id of a write; nil takes random ones.
	NewID func() string
	// Patience is how long a write is tried while the platform is away. Zero
	// takes DefaultPatience.
	Patience time.Duration
}
