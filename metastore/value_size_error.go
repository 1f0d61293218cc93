package metastore

import "fmt"

// ValueSizeError reports a value larger than MaxValueBytes. Nothing was written.
type ValueSizeError struct {
	Key   string
	Bytes int
}

// Error implements error.
func (e *ValueSizeError) Error() string {
	return fmt.Sprintf("value of object %q has %d bytes, more than %d", e.Key, e.Bytes, MaxValueBytes)
}
