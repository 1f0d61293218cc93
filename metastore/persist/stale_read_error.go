package persist

import (
	"fmt"

	"github.com/laureltally/laureltally/metastore"
)

// StaleReadError reports a read that is older than a version known to exist.
type StaleReadError struct {
	Key    string
	Got    metastore.Version
	Wanted metastore.Version
}

// Error implements error.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("read of %q gave version %d, older than %d", e.Key, e.Got, e.Wanted)
}
