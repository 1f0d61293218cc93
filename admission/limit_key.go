package admission

import "github.com/laureltally/laureltally/ident"

// LimitKey names the holder of a rate limit: an environment, or one of its
// callers when Caller is set.
type LimitKey struct {
	Environment ident.Environment
	Caller      string
}
