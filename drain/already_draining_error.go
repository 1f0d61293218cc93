package drain

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// AlreadyDrainingError reports that a drain of the VM has begun before.
type AlreadyDrainingError struct {
	VM    ident.VM
	Actor string
	Time  time.Time
}

// Error implements error.
func (e *AlreadyDrainingError) Error() string {
	return fmt.Sprintf("VM %q has been draining since %s, requested by %s", e.VM, e.Time.Format(time.RFC3339), e.Actor)
}
