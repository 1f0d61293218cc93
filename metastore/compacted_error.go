package metastore

import "fmt"

// CompactedError reports a watch that asked for changes that the store no longer
// has. The caller lists again and watches from the version of the listing.
type CompactedError struct {
	Since  Version
	Oldest Version
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes since version %d are gone, the oldest kept is %d", e.Since, e.Oldest)
}
