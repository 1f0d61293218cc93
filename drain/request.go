package drain

import "github.com/laureltally/laureltally/ident"

// Request is what an operator asks.
type Request struct {
	VM ident.VM
	// Environment is that of the audit record.
	Environment ident.Environment
	Actor       string
	Reason      string
}
