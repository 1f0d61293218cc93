package ingress

import "fmt"

// NoRoomError reports that bytes don't fit into the budget of buffered bytes.
type NoRoomError struct{ Bytes int64 }

// Error implements error.
func (e *NoRoomError) Error() string {
	return fmt.Sprintf("%d more bytes exceed the budget of buffered bytes", e.Bytes)
}
