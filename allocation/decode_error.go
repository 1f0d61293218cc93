package allocation

import "fmt"

// DecodeError reports a stored grant that cannot be read.
type DecodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("grant %q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
