package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// CapacityError reports a writer that got no space within Options.Stall because
// all answers together fill Options.TotalBytes.
type CapacityError struct {
	Attempt ident.Attempt
	Limit   int64
}

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("attempt %q: answers fill the limit of %d bytes", e.Attempt, e.Limit)
}
