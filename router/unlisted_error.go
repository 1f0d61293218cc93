package router

import (
	"fmt"

	"github.com/laureltally/laureltally/ident"
)

// unlistedError reports a VM that the platform no longer lists.
type unlistedError struct{ vm ident.VM }

// Error implements error.
func (e *unlistedError) Error() string { return fmt.Sprintf("VM %s is not listed", e.vm) }
