package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// NotFoundError reports an attempt without a retained response.
type NotFoundError struct{ Attempt ident.Attempt }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no answer is kept of attempt %q", e.Attempt)
}
