package upstreamhttp

import "fmt"

// UnmatchedResponseError reports responses to other requests that can't be skipped.
type UnmatchedResponseError struct{ Responses int }

// Error implements error.
func (e *UnmatchedResponseError) Error() string {
	return fmt.Sprintf("received %d responses to other requests", e.Responses)
}
