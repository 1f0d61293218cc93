package metastore

import "fmt"

// NotFoundError reports that there is no object at Key.
type NotFoundError struct{ Key string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Key) }
