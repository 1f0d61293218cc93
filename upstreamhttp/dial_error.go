package upstreamhttp

import "fmt"

// DialError reports that no connection could be established. Nothing was sent.
type DialError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }
