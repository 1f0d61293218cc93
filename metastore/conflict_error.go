package metastore

import "fmt"

// ConflictError reports a conditional write that was rejected because the object
// was not at the expected version.
type ConflictError struct {
	Key      string
	Expected Version
	Actual   Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, not %d", e.Key, e.Actual, e.Expected)
}
