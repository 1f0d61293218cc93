package drain

import (
	"time"

	"github.com/laureltally/laureltally/metastore"
)

// DefaultRetryTimeout is the default of Options.RetryTimeout.
const DefaultRetryTimeout = 20 * time.Second

// Options configures a Registry.
type Options struct {
	Store metastore.Store
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// NewID generates the ids of audit records; nil means random ids.
	NewID func() string
	// RetryTimeout is how long Begin and End retry while the platform is
	// unavailable. Zero means DefaultRetryTimeout.
	RetryTimeout time.Duration
}
