package upstreamhttp

import "fmt"

// ConnectionError reports a connection that failed after the sending of the request had
// started. The upstream may have executed the request.
type ConnectionError struct {
	Address string
	Stage   Stage
	Err     error
}

// Error implements error.
func (e *ConnectionError) Error() string {
	return fmt.Sprintf("%s: connection failed while %s: %v", e.Address, e.Stage, e.Err)
}

// Unwrap returns the underlying error.
func (e *ConnectionError) Unwrap() error { return e.Err }
