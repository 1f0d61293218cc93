package keys

import (
	"time"

	"github.com/apex/log"
)

// DefaultCheckInterval is the default of ReloaderOptions.CheckInterval.
const DefaultCheckInterval = time.Second

// ReloaderOptions configures a Reloader.
type ReloaderOptions struct {
	// CA, Certificate and Key are paths of PEM files. CA may contain several
	// certificates, so that an authority can be replaced.
	CA          string
	Certificate string
	Key         string
	// CheckInterval is the minimum time between two checks of the files. Zero
	// means DefaultCheckInterval.
	CheckInterval time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Logger logs reloads and failed reloads; nil means log.Log.
	Logger log.Interface
}
