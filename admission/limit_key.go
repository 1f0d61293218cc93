package admission

import "github.com/laureltally/laureltally/ident"

// LimitKey identifies what a rate limit applies to: an environment, or one of
// its callers if Caller is set.
type LimitKey struct {
	Environment ident.Environment
	Caller      string
}
