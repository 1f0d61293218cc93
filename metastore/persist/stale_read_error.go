package persist

import (
	"fmt"

	"github.com/laureltally/laureltally/metastore"
)

// StaleReadError reports a read of an older version than the object is known to
// have reached.
type StaleReadError struct {
	Key    string
	Got    metastore.Version
	Wanted metastore.Version
}

// Error implements error.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("read of %q returned version %d, want at least %d", e.Key, e.Got, e.Wanted)
}
