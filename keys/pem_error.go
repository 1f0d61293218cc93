package keys

import "fmt"

// PEMError reports text without a valid PEM block of the expected kind.
type PEMError struct{ Want string }

// Error implements error.
func (e *PEMError) Error() string { return fmt.Sprintf("no valid PEM block: expected %s", e.Want) }
