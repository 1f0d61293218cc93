package main

import (
	"fmt"
	"os"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
)

// issuer issues the certificates of the measured processes.
type issuer struct {
	dir string
	ca  *keys.Authority
}

// newIssuer returns an issuer. The caller closes it.
func newIssuer() (*issuer, error) {
	dir, err := os.MkdirTemp("", "laureltally-capacity-")
	if err != nil {
		return nil, fmt.Errorf("directory for keys: %w", err)
	}
	ca, err := keys.NewAuthority(keys.AuthorityOptions{Name: "capacity"})
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	if err := ca.Pair().Write(dir, "ca"); err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	return &issuer{dir: dir, ca: ca}, nil
}

// close removes the files.
func (i *issuer) close() { _ = os.RemoveAll(i.dir) }

// issue returns the credentials of a VM.
func (i *issuer) issue(vm ident.VM) (*keys.Reloader, error) {
	pair, err := i.ca.Issue(keys.IssueOptions{VM: vm})
	if err != nil {
		return nil, fmt.Errorf("certificate of %s: %w", vm, err)
	}
	if err := pair.Write(i.dir, string(vm)); err != nil {
		return nil, fmt.Errorf("certificate of %s: %w", vm, err)
	}
	r, err := keys.NewReloader(keys.ReloaderOptions{
		CA:          keys.CertificateFile(i.dir, "ca"),
		Certificate: keys.CertificateFile(i.dir, string(vm)),
		Key:         keys.KeyFile(i.dir, string(vm)),
		Logger:      quiet(),
	})
	if err != nil {
		return nil, fmt.Errorf("credentials of %s: %w", vm, err)
	}
	return r, nil
}
