package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// WrongAttemptError reports a frame of another attempt than the one waited for.
type WrongAttemptError struct{ Want, Got ident.Attempt }

// Error implements error.
func (e *WrongAttemptError) Error() string {
	return fmt.Sprintf("frame of attempt %q while waiting for %q", e.Got, e.Want)
}
