package placement

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// NoVMError reports that no VM can take the request now.
type NoVMError struct {
	Service ident.Upstream
	// Known is how many VMs of the service are registered.
	Known int
	// RetryAfter estimates when one may.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoVMError) Error() string {
	return fmt.Sprintf("no VM of %s can take the request, %d are registered", e.Service, e.Known)
}
