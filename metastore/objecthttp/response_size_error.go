package objecthttp

import "fmt"

// ResponseSizeError reports a response body larger than the limit.
type ResponseSizeError struct{ Limit int64 }

// Error implements error.
func (e *ResponseSizeError) Error() string {
	return fmt.Sprintf("response has more than %d bytes", e.Limit)
}
