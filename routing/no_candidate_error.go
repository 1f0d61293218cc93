package routing

import "fmt"

// NoCandidateError reports that no candidate may take the request.
type NoCandidateError struct {
	// Considered is how many candidates were given, Leaving how many of them are
	// leaving.
	Considered, Leaving int
}

// Error implements error.
func (e *NoCandidateError) Error() string {
	return fmt.Sprintf("routing: no candidate (%d considered, %d leaving)", e.Considered, e.Leaving)
}
