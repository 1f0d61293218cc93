package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
)

// promoteCommand promotes the trial document to production.
type promoteCommand struct {
	platformFlags
	actorFlags
	jsonFlag
	Digest string             `arg:"--digest,required" placeholder:"SHA256" help:"digest of the trial document, as printed by apply --trial"`
	Base   *metastore.Version `arg:"--base" placeholder:"VERSION" help:"production version to replace; default: the stored version"`
}

func (c *promoteCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	repository := document.New(document.Options{Store: client})
	p := document.Promotion{Environment: c.Environment, Actor: c.Actor, Reason: c.Reason, Digest: c.Digest}
	if p.Base, err = baseOf(ctx, repository, c.platformFlags, document.StageProduction, c.Base); err != nil {
		return err
	}
	accepted, err := repository.Promote(ctx, p)
	return printAccepted(out, c.JSON, accepted, err)
}
