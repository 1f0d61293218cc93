package upstreamhttp

import "fmt"

// BrokenError reports a connection that failed after the request was begun. The
// upstream may have run it.
type BrokenError struct {
	Address string
	Stage   Stage
	Err     error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%s: connection failed while %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }
