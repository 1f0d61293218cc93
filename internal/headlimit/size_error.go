package headlimit

import "fmt"

// SizeError reports a response whose head does not end within MaxBytes and MaxLines.
type SizeError struct{}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("head of the response does not end within %d bytes and %d lines", MaxBytes, MaxLines)
}
