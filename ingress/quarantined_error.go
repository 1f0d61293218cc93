package ingress

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// QuarantinedError reports a request with a quarantined trait.
type QuarantinedError struct {
	Trait     ident.Trait
	Remaining time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	kind := "prompt part"
	if e.Trait.OfRequest() {
		kind = "request"
	}
	return fmt.Sprintf("%s %s has crashed servers: quarantined for %v", kind, e.Trait, e.Remaining.Round(time.Second))
}
