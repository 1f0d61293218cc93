package keys

import (
	"net/netip"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// DefaultLifetime is how long a VM's certificate is valid.
const DefaultLifetime = 90 * 24 * time.Hour

// IssueOptions configures Authority.Issue.
type IssueOptions struct {
	// VM is the common name.
	VM ident.VM
	// Addresses are the subject alternative names.
	Addresses []netip.Addr
	// Lifetime is how long the certificate is valid. Zero means DefaultLifetime.
	Lifetime time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}
