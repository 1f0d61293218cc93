package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// OffsetError reports a read at an invalid offset: negative, or beyond the
// bytes written.
type OffsetError struct {
	Attempt ident.Attempt
	Offset  int64
	Written int64
}

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("attempt %q: offset %d is outside the %d bytes written", e.Attempt, e.Offset, e.Written)
}
