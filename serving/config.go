package serving

import "github.com/laureltally/laureltally/ident"

// Config is one version of the configuration. It is not changed once it is in
// force.
type Config struct {
	// Revision is the store's change number; a higher one is newer.
	Revision uint64
	// Version is the operator's number, for logs.
	Version  string
	Routes   []Route
	Services map[ident.Upstream]*Service
	Limits   Limits
}
