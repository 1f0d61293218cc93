package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// LengthError reports an End whose length, in bytes, is not that received.
type LengthError struct {
	Attempt  ident.Attempt
	Received int64
	Length   int64
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("attempt %q: end after %d bytes, received %d", e.Attempt, e.Length, e.Received)
}
