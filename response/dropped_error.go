package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// DroppedError reports a read at an offset that is no longer retained.
type DroppedError struct {
	Attempt ident.Attempt
	Offset  int64
	// Oldest is the lowest retained offset.
	Oldest int64
}

// Error implements error.
func (e *DroppedError) Error() string {
	return fmt.Sprintf("attempt %q: offset %d was dropped, the oldest kept is %d", e.Attempt, e.Offset, e.Oldest)
}
