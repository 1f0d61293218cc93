package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// WrongAttemptError reports a frame of another attempt.
type WrongAttemptError struct{ Want, Got ident.Attempt }

// Error implements error.
func (e *WrongAttemptError) Error() string {
	return fmt.Sprintf("frame belongs to attempt %q, want %q", e.Got, e.Want)
}
