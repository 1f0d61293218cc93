package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// CapacityError reports a write that got no space within Options.Stall because
// all responses together fill Options.TotalBytes.
type CapacityError struct {
	Attempt ident.Attempt
	Limit   int64
}

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("attempt %q: write response: all responses together reached the limit of %d bytes", e.Attempt, e.Limit)
}
