package keys

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Ephemeral holds the credentials of a process that has been given none: a
// certificate of its own making that proves nothing but names its VM. It fits
// networks that only the system's own VMs reach.
type Ephemeral struct{ certificate tls.Certificate }

// NewEphemeral makes the credentials of a VM.
func NewEphemeral(vm ident.VM, now func() time.Time) (*Ephemeral, error) {
	authority, err := NewAuthority(AuthorityOptions{Name: string(vm), Now: now})
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(IssueOptions{VM: vm, Now: now})
	if err != nil {
		return nil, err
	}
	c, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return &Ephemeral{certificate: c}, nil
}

// ServerConfig returns the configuration of the accepting end.
func (e *Ephemeral) ServerConfig() (*tls.Config, error) {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, Certificates: []tls.Certificate{e.certificate}}, nil
}

// ClientConfig returns the configuration of the dialing end.
func (e *Ephemeral) ClientConfig() (*tls.Config, error) {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, Certificates: []tls.Certificate{e.certificate}}, nil
}
