package replica

import (
	"fmt"

	"github.com/laureltally/laureltally/metastore"
)

// StaleListError reports a listing that may be older than this incarnation, or
// is older than an applied listing or change.
type StaleListError struct{ Version metastore.Version }

// Error implements error.
func (e *StaleListError) Error() string {
	return fmt.Sprintf("allocation listing at version %d is outdated", e.Version)
}
