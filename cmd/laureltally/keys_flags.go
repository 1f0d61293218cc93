package main

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/persist"
)

// keysFlags are the directory of the keys and, optionally, where to write an audit
// record.
type keysFlags struct {
	Dir         string            `arg:"--dir,required" help:"directory of the files"`
	Platform    string            `arg:"--platform,env:LAURELTALLY_PLATFORM" placeholder:"URL" help:"base URL of the object API, to write an audit record"`
	Environment ident.Environment `arg:"--environment,env:LAURELTALLY_ENVIRONMENT" placeholder:"NAME" help:"environment of the audit record"`
	Actor       string            `arg:"--actor,env:LAURELTALLY_ACTOR" placeholder:"NAME" help:"name of the operator, for the audit record"`
}

// record writes an audit record if a platform is given. It must be called before the
// key is stored, so that no key exists without a record.
func (f keysFlags) record(ctx context.Context, action audit.Action, subject string) error {
	if f.Platform == "" {
		return nil
	}
	if f.Environment == "" || f.Actor == "" {
		return &usageError{detail: "--platform requires --environment and --actor"}
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
