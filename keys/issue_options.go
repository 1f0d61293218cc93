package keys

import (
	"net/netip"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// DefaultLifetime is how long a VM's certificate is valid.
const DefaultLifetime = 90 * 24 * time.Hour

// IssueOptions describes one certificate.
type IssueOptions struct {
	// VM becomes the common name.
	VM ident.VM
	// Addresses become subject alternative names.
	Addresses []netip.Addr
	// Lifetime is how long the certificate is valid. Zero takes DefaultLifetime.
	Lifetime time.Duration
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}
