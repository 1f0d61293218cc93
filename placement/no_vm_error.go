package placement

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoVMError reports that no VM can accept the request now.
type NoVMError struct {
	Service ident.Upstream
	// Software is the software version that the request is bound to, or empty.
	Software string
	// Known is the number of registered VMs of the service, with that version if there
	// is one.
	Known int
	// RetryAfter is the suggested delay before a retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoVMError) Error() string {
	if e.Software != "" {
		return fmt.Sprintf("no VM of %s with software version %s can accept the request: %d registered", e.Service, e.Software, e.Known)
	}
	return fmt.Sprintf("no VM of %s can accept the request: %d registered", e.Service, e.Known)
}
