package ingress

import "fmt"

// NotContinuedError means that an upstream which was asked to continue a stream that has begun
// responded with something else.
type NotContinuedError struct {
	Status int
}

func (e *NotContinuedError) Error() string {
	return fmt.Sprintf("stream not continued, status %d", e.Status)
}
