package drain

import "github.com/laureltally/laureltally/ident"

// Request is an operator's request to begin or end a drain.
type Request struct {
	VM ident.VM
	// Environment is the environment of the audit record.
	Environment ident.Environment
	Actor       string
	Reason      string
}
