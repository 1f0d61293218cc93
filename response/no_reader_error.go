package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NoReaderError reports a writer that filled its tail and had no reader within
// Options.Stall.
type NoReaderError struct{ Attempt ident.Attempt }

// Error implements error.
func (e *NoReaderError) Error() string {
	return fmt.Sprintf("attempt %q: write response: no reader attached", e.Attempt)
}
