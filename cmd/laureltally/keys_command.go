package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/platform/persist"
)

const (
	// authorityName is the name of the authority's files.
	authorityName = "ca"
	// keyDirMode is the mode of a directory that is made for keys.
	keyDirMode = 0o700
)

// keysCommand makes a certificate authority and certificates.
type keysCommand struct {
	CA    *keysCACommand    `arg:"subcommand:ca" help:"make a certificate authority in DIR/ca.crt and DIR/ca.key"`
	Issue *keysIssueCommand `arg:"subcommand:issue" help:"make DIR/VM.crt and DIR/VM.key"`
}

// chosen returns the subcommand, or nil if none was given.
func (c *keysCommand) chosen() command {
	switch {
	case c.CA != nil:
		return c.CA
	case c.Issue != nil:
		return c.Issue
	default:
		return nil
	}
}

// keysFlags say where keys are kept and, if the act shall be recorded, where.
type keysFlags struct {
	Dir         string            `arg:"--dir,required" help:"directory of the files"`
	Platform    string            `arg:"--platform,env:LAURELTALLY_PLATFORM" placeholder:"URL" help:"base URL of the object API, to leave an audit record"`
	Environment ident.Environment `arg:"--environment,env:LAURELTALLY_ENVIRONMENT" placeholder:"NAME" help:"environment of the audit record"`
	Actor       string            `arg:"--actor,env:LAURELTALLY_ACTOR" placeholder:"NAME" help:"who acts, for the audit record"`
}

// record leaves an audit record. It comes before the act, so that no key is made
// without one.
func (f keysFlags) record(ctx context.Context, action audit.Action, subject string) error {
	if f.Platform == "" {
		return nil
	}
	if f.Environment == "" || f.Actor == "" {
		return &usageError{detail: "--platform needs --environment and --actor"}
	}
	client, err := platformFlags{Platform: f.Platform}.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	r := audit.Record{ID: rand.Text(), Time: time.Now(), Environment: f.Environment, Actor: f.Actor, Action: action, Subject: subject}
	_, err = persist.Retry(ctx, func() (struct{}, error) { return struct{}{}, audit.Write(ctx, client, r) })
	return err
}

// recordTimeout bounds the writing of an audit record.
const recordTimeout = 20 * time.Second

// keysCACommand makes a certificate authority.
type keysCACommand struct {
	keysFlags
	Name     string        `arg:"--name" default:"laureltally" help:"common name of the authority"`
	Lifetime time.Duration `arg:"--lifetime" default:"87600h" help:"how long its certificate is valid"`
}

func (c *keysCACommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	if _, err := os.Stat(keys.KeyFile(c.Dir, authorityName)); err == nil {
		return &fileExistsError{file: keys.KeyFile(c.Dir, authorityName)}
	}
	if err := os.MkdirAll(c.Dir, keyDirMode); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	authority, err := keys.NewAuthority(keys.AuthorityOptions{Name: c.Name, Lifetime: c.Lifetime})
	if err != nil {
		return err
	}
	if err := c.record(ctx, audit.ActionKeyCA, c.Name); err != nil {
		return err
	}
	if err := authority.Pair().Write(c.Dir, authorityName); err != nil {
		return err
	}
	out.printf("%s\n", keys.CertificateFile(c.Dir, authorityName))
	return nil
}

// keysIssueCommand makes the certificate of a VM.
type keysIssueCommand struct {
	keysFlags
	VM       ident.VM      `arg:"--vm,required" help:"id of the VM"`
	IPs      []netip.Addr  `arg:"--ip,separate" help:"address of the VM, repeatable"`
	Lifetime time.Duration `arg:"--lifetime" default:"2160h" help:"how long the certificate is valid"`
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
