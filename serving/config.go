package serving

import "github.com/laureltally/laureltally/ident"

// Config is one version of the configuration. It is immutable once it is in effect.
type Config struct {
	// Revision is the change number in the store; a higher one is newer.
	Revision uint64
	// Restores is how often the store had been restored from an older copy, which may
	// have lost the newest configurations.
	Restores uint64
	// Version is the operator's version, for logs, and Number its value, which rises
	// with each configuration; zero means that it is not a number.
	Version  string
	Number   uint64
	Routes   []Route
	Services map[ident.Upstream]*Service
	Limits   Limits
	// Keys maps API keys to tenants. It is nil if the configuration has no tenants, which
	// means that callers need no key.
	Keys *KeyTable
}

// Supersedes reports whether c is newer than another configuration. A higher revision
// does not tell after a restore of the store: the copy may hold a configuration from
// before the other one.
func (c *Config) Supersedes(old *Config) bool {
	if old == nil {
		return true
	}
	if c.Restores > old.Restores && c.Number > 0 && c.Number < old.Number {
		return false
	}
	return c.Revision > old.Revision
}

// Engine returns the description of the engines of a service, or nil if there is no such service
// or it has none.
func (c *Config) Engine(service ident.Upstream) *Engine {
	if s := c.Services[service]; s != nil {
		return s.Engine
	}
	return nil
}
