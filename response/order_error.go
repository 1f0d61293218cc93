package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// OrderError reports a frame that is not allowed at this point of a response.
type OrderError struct {
	Attempt ident.Attempt
	Kind    wire.Kind
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("attempt %q: frame of kind %d out of order", e.Attempt, e.Kind)
}
