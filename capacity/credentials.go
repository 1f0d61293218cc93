package main

import (
	"fmt"
	"os"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
)

// issuer issues the certificates of the measured processes and stores them in a
// temporary directory.
type issuer struct {
	dir string
	ca  *keys.Authority
}

// newIssuer returns an issuer. The caller closes it.
func newIssuer() (*issuer, error) {
	dir, err := os.MkdirTemp("", "laureltally-capacity-")
	if err != nil {
		return nil, fmt.Errorf("create key directory: %w", err)
	}
	ca, err := keys.NewAuthority(keys.AuthorityOptions{Name: "capacity"})
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	if err := ca.Pair().Write(dir, "ca"); err != nil {
		return nil, fmt.Errorf("write CA certificate: %w", err)
	}
	return &issuer{dir: dir, ca: ca}, nil
}

// close removes the key directory.
func (i *issuer) close() { _ = os.RemoveAll(i.dir) }

// issue creates a certificate for vm and returns its credentials.
func (i *issuer) issue(vm ident.VM) (*keys.Reloader, error) {
	pair, err := i.ca.Issue(keys.IssueOptions{VM: vm})
	if err != nil {
		return nil, fmt.Errorf("issue certificate of %s: %w", vm, err)
	}
	if err := pair.Write(i.dir, string(vm)); err != nil {
		return nil, fmt.Errorf("write certificate of %s: %w", vm, err)
	}
	r, err := keys.NewReloader(keys.ReloaderOptions{
		CA:          keys.CertificateFile(i.dir, "ca"),
		Certificate: keys.CertificateFile(i.dir, string(vm)),
		Key:         keys.KeyFile(i.dir, string(vm)),
		Logger:      quiet(),
	})
	if err != nil {
		return nil, fmt.Errorf("load credentials of %s: %w", vm, err)
	}
	return r, nil
}
