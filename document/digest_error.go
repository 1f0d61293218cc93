package document

import "fmt"

// DigestError reports text whose digest is not the wanted one.
type DigestError struct{ Want, Got string }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document has digest %s, not %s", e.Got, e.Want)
}
