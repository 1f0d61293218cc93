package enginehttp

import "fmt"

// SizeError reports a response that exceeds the size limit.
type SizeError struct{ Limit int64 }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("response has more than %d bytes", e.Limit) }
