package loadlimit

import "fmt"

// DuplicateError reports a request whose ID is already queued or holds a
// permit.
type DuplicateError struct {
	ID PermitID
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("load permit %d already exists", e.ID)
}
