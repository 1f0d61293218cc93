package objecthttp

import "fmt"

// ETagError reports an entity tag that is not a version.
type ETagError struct{ Tag string }

// Error implements error.
func (e *ETagError) Error() string { return fmt.Sprintf("entity tag %q is not a version", e.Tag) }
