package responsehead

import "fmt"

// maxQuotedBytes bounds the part of a malformed line in an error.
const maxQuotedBytes = 64

// SyntaxError reports a malformed head or trailer of a response.
type SyntaxError struct {
	// Problem says what is wrong with the line.
	Problem string
	Line    string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.Problem, e.Line[:min(len(e.Line), maxQuotedBytes)])
}
