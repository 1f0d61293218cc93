package idempotency

import "fmt"

// FormatError reports a bucket object that cannot be decoded.
type FormatError struct {
	Key string
	Err error
}

// Error implements error.
func (e *FormatError) Error() string { return fmt.Sprintf("decode bucket object %q: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *FormatError) Unwrap() error { return e.Err }
