package main

import "time"

const (
	// authorityName is the base name of the authority's files.
	authorityName = "ca"
	// keyDirMode is the file mode of a new directory for keys.
	keyDirMode = 0o700
	// recordTimeout is the time limit for writing an audit record.
	recordTimeout = 20 * time.Second
)

// keysCommand creates a certificate authority and certificates.
type keysCommand struct {
	CA    *keysCACommand    `arg:"subcommand:ca" help:"create a certificate authority in DIR/ca.crt and DIR/ca.key"`
	Issue *keysIssueCommand `arg:"subcommand:issue" help:"create a VM's certificate and key in DIR/VM.crt and DIR/VM.key"`
}

// subcommand returns the subcommand, or nil if none was given.
func (c *keysCommand) subcommand() command {
	switch {
	case c.CA != nil:
		return c.CA
	case c.Issue != nil:
		return c.Issue
	default:
		return nil
	}
}
