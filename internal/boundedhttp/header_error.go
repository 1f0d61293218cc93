package boundedhttp

import "fmt"

// HeaderError reports a header beyond the limits, or beyond the budget for large ones. The
// server responds to it with status 400.
type HeaderError struct {
	// Bytes and Lines have been received.
	Bytes, Lines int
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header of %d bytes and %d lines or more exceeds the limits", e.Bytes, e.Lines)
}
