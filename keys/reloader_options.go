package keys

import (
	"time"

	"github.com/apex/log"
)

// DefaultCheckInterval is the shortest time between two looks at the files.
const DefaultCheckInterval = time.Second

// ReloaderOptions configures a Reloader.
type ReloaderOptions struct {
	// CA, Certificate and Key are paths of PEM files. CA may hold several
	// certificates, so that an authority can be replaced.
	CA          string
	Certificate string
	Key         string
	// CheckInterval is the shortest time between two looks at the files. Zero
	// takes DefaultCheckInterval.
	CheckInterval time.Duration
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// Logger receives a line for each reload; nil takes log.Log.
	Logger log.Interface
}
