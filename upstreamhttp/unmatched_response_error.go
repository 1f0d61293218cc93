package upstreamhttp

import "fmt"

// UnmatchedResponseError reports a response to another request that can't be skipped, or
// too many of them.
type UnmatchedResponseError struct{ Responses int }

// Error implements error.
func (e *UnmatchedResponseError) Error() string {
	return fmt.Sprintf("received %d responses to other requests", e.Responses)
}
