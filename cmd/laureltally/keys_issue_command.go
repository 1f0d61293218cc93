package main

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
)

// keysIssueCommand issues the certificate of a VM.
type keysIssueCommand struct {
	keysFlags
	VM       ident.VM      `arg:"--vm,required" help:"id of the VM"`
	IPs      []netip.Addr  `arg:"--ip,separate" help:"IP address of the VM, repeatable"`
	Lifetime time.Duration `arg:"--lifetime" default:"2160h" help:"validity period of the certificate"`
}

func (c *keysIssueCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	pair, err := keys.ReadPair(c.Dir, authorityName)
	if err != nil {
		return err
	}
	authority, err := keys.ParseAuthority(pair)
	if err != nil {
		return err
	}
	issued, err := authority.Issue(keys.IssueOptions{VM: c.VM, Addresses: c.IPs, Lifetime: c.Lifetime})
	if err != nil {
		return err
	}
	if err := c.record(ctx, audit.ActionKeyIssue, string(c.VM)); err != nil {
		return err
	}
	if err := issued.Write(c.Dir, string(c.VM)); err != nil {
		return err
	}
	out.printf("%s\n", keys.CertificateFile(c.Dir, string(c.VM)))
	return nil
}
