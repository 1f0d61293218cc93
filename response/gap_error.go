package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// GapError reports a chunk that does not continue the response. Want and Got
// are offsets in bytes.
type GapError struct {
	Attempt   ident.Attempt
	Want, Got int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("attempt %q: chunk at offset %d, want %d", e.Attempt, e.Got, e.Want)
}
