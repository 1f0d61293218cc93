package wire

import "fmt"

// SizeError reports a message whose body exceeds MaxMessageBytes.
type SizeError struct {
	Kind  Kind
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of kind %d has %d bytes, limit %d", e.Kind, e.Bytes, MaxMessageBytes)
}
