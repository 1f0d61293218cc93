package transport

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// IdentityError reports a peer whose certificate was issued to another VM than
// the one it says it is, or than the one that was dialed.
type IdentityError struct {
	Claimed ident.VM
	Proved  ident.VM
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("peer claims to be %q, its certificate says %q", e.Claimed, e.Proved)
}
