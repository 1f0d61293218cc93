package transport

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// IdentityError reports a peer whose certificate was issued to another VM than the
// one named in its Hello, or a peer that is not the VM that was dialed.
type IdentityError struct {
	Claimed ident.VM
	Proved  ident.VM
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer identity mismatch: claimed %q, authenticated as %q", e.Claimed, e.Proved)
}
