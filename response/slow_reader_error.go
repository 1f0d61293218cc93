package response

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// SlowReaderError reports a reader that was detached because it blocked the
// writer for longer than Options.Stall.
type SlowReaderError struct {
	Attempt ident.Attempt
	Offset  int64
}

// Error implements error.
func (e *SlowReaderError) Error() string {
	return fmt.Sprintf("attempt %q: reader at offset %d detached: too slow", e.Attempt, e.Offset)
}
