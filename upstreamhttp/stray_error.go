package upstreamhttp

import "fmt"

// StrayError reports more answers to other requests than are passed over.
type StrayError struct{ Answers int }

// Error implements error.
func (e *StrayError) Error() string {
	return fmt.Sprintf("%d answers belong to other requests", e.Answers)
}
