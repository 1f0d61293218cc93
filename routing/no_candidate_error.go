package routing

import "fmt"

// NoCandidateError reports that no candidate can take the request.
type NoCandidateError struct {
	// Considered is the number of candidates, Leaving the number of them that
	// are leaving.
	Considered, Leaving int
}

// Error implements error.
func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("routing: no candidate (%d considered, %d leaving)", e.Considered, e.Leaving)
}
