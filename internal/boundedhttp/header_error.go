package boundedhttp

import "fmt"

// HeaderError reports a header beyond the limits. The server responds to it with status 400.
type HeaderError struct {
	// MaxBytes and MaxLines are the limits.
	MaxBytes, MaxLines int
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header exceeds %d bytes or %d lines", e.MaxBytes, e.MaxLines)
}
