package loadlimit

import "fmt"

// DuplicateError reports a request whose ID is waiting or holds a place.
type DuplicateError struct {
	ID PermitID
}

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("gate: ticket %d exists already", e.ID) }
