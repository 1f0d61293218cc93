package keys

import "fmt"

// PEMError reports text that lacks a PEM block of the wanted kind.
type PEMError struct{ Want string }

// Error implements error.
func (e *PEMError) Error() string { return fmt.Sprintf("no usable PEM block with a %s", e.Want) }
