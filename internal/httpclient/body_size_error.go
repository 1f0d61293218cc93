package httpclient

import "fmt"

// BodySizeError reports a response body longer than Limit, in bytes.
type BodySizeError struct{ Limit int64 }

// Error implements error.
func (e *BodySizeError) Error() string {
	return fmt.Sprintf("response body is longer than %d bytes", e.Limit)
}
