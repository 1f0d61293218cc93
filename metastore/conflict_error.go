package metastore

import "fmt"

// ConflictError reports a conditional write whose condition did not hold.
type ConflictError struct {
	Key      string
	Expected Version
	Actual   Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, not %d", e.Key, e.Actual, e.Expected)
}
