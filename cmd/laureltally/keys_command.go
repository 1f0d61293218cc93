package main

import "time"

const (
	// authorityName is the name of the authority's files.
	authorityName = "ca"
	// keyDirMode is the mode of a directory that is made for keys.
	keyDirMode = 0o700
	// recordTimeout bounds the writing of an audit record.
	recordTimeout = 20 * time.Second
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
