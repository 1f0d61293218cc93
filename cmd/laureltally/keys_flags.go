package main

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/persist"
)

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
