package ingress

import "fmt"

// DeclinedError reports an upstream that has not run the request and says so.
type DeclinedError struct{ Status int }

// Error implements error.
func (e *DeclinedError) Error() string { return fmt.Sprintf("declined with status %d", e.Status) }
