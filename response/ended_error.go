package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// EndedError reports a write to an answer that has already ended, or a second
// one begun for the same attempt.
type EndedError struct{ Attempt ident.Attempt }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("attempt %q has ended or was begun before", e.Attempt)
}
