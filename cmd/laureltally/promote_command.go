package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
)

// promoteCommand brings what trial runs to production.
type promoteCommand struct {
	platformFlags
	actorFlags
	jsonFlag
	Digest string             `arg:"--digest,required" placeholder:"SHA256" help:"digest of the document that was tried, as apply --trial printed it"`
	Base   *metastore.Version `arg:"--base" placeholder:"VERSION" help:"version of production that is replaced; default: the one stored now"`
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
