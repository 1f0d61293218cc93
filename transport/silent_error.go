package transport

import (
	"fmt"
	"time"
)

// SilentError reports a connection that stopped answering pings.
type SilentError struct {
	Address string
	Timeout time.Duration
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("connection to %s answered no ping for %v", e.Address, e.Timeout)
}
