package enginehttp

import "fmt"

// SizeError reports an answer over its bound.
type SizeError struct{ Limit int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("answer has more than %d bytes", e.Limit) }
