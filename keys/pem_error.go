package keys

import "fmt"

// PEMError reports a PEM block that is missing or of another kind than expected, or
// a key that does not belong to its certificate.
type PEMError struct{ Want string }

// Error implements error.
func (e *PEMError) Error() string {
	return fmt.Sprintf("missing or invalid PEM block: expected %s", e.Want)
}
