package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// GoneError reports an attempt of which no answer is kept.
type GoneError struct{ Attempt ident.Attempt }

// Error implements error.
func (e *GoneError) Error() string { return fmt.Sprintf("no answer is kept of attempt %q", e.Attempt) }
