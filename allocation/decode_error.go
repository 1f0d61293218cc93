package allocation

import "fmt"

// DecodeError reports a stored allocation that cannot be decoded.
type DecodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode allocation %q: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }
