package ingress

import "fmt"

// DeclinedError reports a response which states that the request has not run.
type DeclinedError struct{ Status int }

// Error implements error.
func (e *DeclinedError) Error() string {
	return fmt.Sprintf("upstream declined the request with status %d", e.Status)
}
