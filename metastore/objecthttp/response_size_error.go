package objecthttp

import "fmt"

// ResponseSizeError reports an answer over its bound.
type ResponseSizeError struct{ Limit int64 }

// Error implements error.
func (e *ResponseSizeError) Error() string {
	return fmt.Sprintf("response has more than %d bytes", e.Limit)
}
