package memory

import "fmt"

// InsufficientMemoryError reports a reservation that does not fit into the free
// memory, in MiB.
type InsufficientMemoryError struct {
	Key    Key
	NeedMB int64
	FreeMB int64
}

// Error implements error.
func (e *InsufficientMemoryError) Error() string {
	return fmt.Sprintf("reserve memory for %s/%s: needs %d MiB, %d MiB free", e.Key.Model, e.Key.Adapter, e.NeedMB, e.FreeMB)
}
