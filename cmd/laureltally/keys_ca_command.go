package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/keys"
)

// keysCACommand creates a certificate authority.
type keysCACommand struct {
	keysFlags
	Name     string        `arg:"--name" default:"laureltally" help:"common name of the authority"`
	Lifetime time.Duration `arg:"--lifetime" default:"87600h" help:"validity period of its certificate"`
}

func (c *keysCACommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	if _, err := os.Stat(keys.KeyFile(c.Dir, authorityName)); err == nil {
		return &fileExistsError{file: keys.KeyFile(c.Dir, authorityName)}
	}
	if err := os.MkdirAll(c.Dir, keyDirMode); err != nil {
		return fmt.Errorf("create directory: %w", err)
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
