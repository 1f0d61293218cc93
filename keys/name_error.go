package keys

import "fmt"

// NameError reports a VM id that can't be a file name or the common name of a
// certificate.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("invalid VM id %q", e.Name) }
