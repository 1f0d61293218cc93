package serving

import "github.com/laureltally/laureltally/ident"

// Config is one version of the configuration. It is immutable once it is in effect.
type Config struct {
	// Revision is the change number in the store; a higher one is newer.
	Revision uint64
	// Version is the operator's version, for logs.
	Version  string
	Routes   []Route
	Services map[ident.Upstream]*Service
	Limits   Limits
}
