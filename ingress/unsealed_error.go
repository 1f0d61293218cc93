package ingress

import "fmt"

// UnsealedError reports an answer that the upstream does not vouch for.
type UnsealedError struct{ Status int }

// Error implements error.
func (e *UnsealedError) Error() string { return fmt.Sprintf("answer %d without a seal", e.Status) }
