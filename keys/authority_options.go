package keys

import "time"

// DefaultAuthorityLifetime is how long an authority's certificate is valid.
const DefaultAuthorityLifetime = 10 * 365 * 24 * time.Hour

// AuthorityOptions configures NewAuthority.
type AuthorityOptions struct {
	// Name is the common name of the authority's certificate.
	Name string
	// Lifetime is how long the certificate is valid. Zero means
	// DefaultAuthorityLifetime.
	Lifetime time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}
