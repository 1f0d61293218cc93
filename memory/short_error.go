package memory

import "fmt"

// ShortError reports a reservation that does not fit, in MiB.
type ShortError struct {
	Key    Key
	NeedMB int64
	FreeMB int64
}

// Error implements error.
func (e *ShortError) Error() string {
	return fmt.Sprintf("%s/%s needs %d MiB, %d MiB free", e.Key.Model, e.Key.Adapter, e.NeedMB, e.FreeMB)
}
