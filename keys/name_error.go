package keys

import "fmt"

// NameError reports a VM id that can't name a file or a certificate.
type NameError struct{ Name string }

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("%q can't name a VM", e.Name) }
