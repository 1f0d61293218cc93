package drain

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// AlreadyError reports a drain that another operator began before.
type AlreadyError struct {
	VM    ident.VM
	Actor string
	Time  time.Time
}

// Error implements error.
func (e *AlreadyError) Error() string {
	return fmt.Sprintf("VM %q is draining since %s by order of %s", e.VM, e.Time.Format(time.RFC3339), e.Actor)
}
