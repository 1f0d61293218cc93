package document

import (
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/metastore"
)

// DefaultWriteTimeout is the maximum duration of a write, including retries while
// the platform is unavailable.
const DefaultWriteTimeout = 20 * time.Second

// Options configures a Repository.
type Options struct {
	Store metastore.Store
	// Logger receives errors that do not make the write fail; nil means log.Log.
	Logger log.Interface
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// NewID returns the unique id of a write; nil means random ids.
	NewID func() string
	// WriteTimeout is the maximum duration of a write, including retries while the
	// platform is unavailable. Zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
}
