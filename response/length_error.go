package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// LengthError reports an End whose length differs from the number of bytes
// received.
type LengthError struct {
	Attempt  ident.Attempt
	Received int64
	Length   int64
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("attempt %q: response length is %d bytes, received %d", e.Attempt, e.Length, e.Received)
}
