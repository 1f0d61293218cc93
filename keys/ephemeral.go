package keys

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Ephemeral holds generated credentials for a process without configured ones: a
// certificate whose common name is the id of the process's VM. It does not
// authenticate the VM, since its authority is generated too and no peer trusts it. It
// is meant for networks that only the system's own VMs can reach.
type Ephemeral struct{ certificate tls.Certificate }

// NewEphemeral generates the credentials of a VM; a nil now means time.Now.
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
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &Ephemeral{certificate: c}, nil
}

// ServerConfig returns the configuration of the server side. It requires a
// client certificate but does not verify it.
func (e *Ephemeral) ServerConfig() (*tls.Config, error) {
	return &tls.Config{MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert, Certificates: []tls.Certificate{e.certificate}}, nil
}

// ClientConfig returns the configuration of the client side. It does not verify the
// server certificate.
func (e *Ephemeral) ClientConfig() (*tls.Config, error) {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true, Certificates: []tls.Certificate{e.certificate}}, nil
}
