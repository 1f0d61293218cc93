package ingress

import "fmt"

// UnsealedError reports a response without the upstream's seal, or with a body that
// was encoded on the way.
type UnsealedError struct{ Status int }

// Error implements error.
func (e *UnsealedError) Error() string {
	return fmt.Sprintf("response with status %d is unsealed or content-encoded", e.Status)
}
