package document

import "fmt"

// DigestError reports a text whose digest differs from the expected one.
type DigestError struct{ Want, Got string }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document has digest %s, want %s", e.Got, e.Want)
}
