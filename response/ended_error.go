package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// EndedError reports a write to a response that has ended, or a second response
// for the same attempt.
type EndedError struct{ Attempt ident.Attempt }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("attempt %q has ended or was begun before", e.Attempt)
}
