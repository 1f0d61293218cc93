package wire

import "fmt"

// SizeError reports a message over MaxMessageBytes.
type SizeError struct {
	Kind  Kind
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of kind %d has %d bytes, more than %d", e.Kind, e.Bytes, MaxMessageBytes)
}
