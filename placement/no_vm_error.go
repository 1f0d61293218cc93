package placement

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoVMError reports that no VM can accept the request now.
type NoVMError struct {
	Service ident.Upstream
	// Known is the number of registered VMs of the service.
	Known int
	// RetryAfter is the suggested delay before a retry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoVMError) Error() string {
	return fmt.Sprintf("no VM of %s can accept the request: %d registered", e.Service, e.Known)
}
