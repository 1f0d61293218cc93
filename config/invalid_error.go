package config

import "strings"

// InvalidError lists all problems of a document or of settings, in the order of
// their positions.
type InvalidError struct{ Problems []Problem }

// Error implements error, with one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i := range e.Problems {
		lines[i] = e.Problems[i].Error()
	}
	return strings.Join(lines, "\n")
}
