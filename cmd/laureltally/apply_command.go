package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
)

// applyCommand stores a document.
type applyCommand struct {
	platformFlags
	actorFlags
	jsonFlag
	File  string             `arg:"positional,required" placeholder:"FILE"`
	Trial bool               `arg:"--trial" help:"store it as the trial document instead of the production document"`
	Base  *metastore.Version `arg:"--base" placeholder:"VERSION" help:"version that the document was edited from; default: the stored version"`
}

func (c *applyCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	repository := document.New(document.Options{Store: client})
	u := document.Update{Environment: c.Environment, Stage: stageOf(c.Trial), Text: text, Actor: c.Actor, Reason: c.Reason}
	if u.Base, err = baseOf(ctx, repository, c.platformFlags, u.Stage, c.Base); err != nil {
		return err
	}
	accepted, err := repository.Apply(ctx, u)
	return printAccepted(out, c.JSON, accepted, err)
}

// baseOf returns the explicit base version, or the stored version if explicit is nil.
func baseOf(ctx context.Context, r *document.Repository, f platformFlags, stage document.Stage, explicit *metastore.Version) (metastore.Version, error) {
	if explicit != nil {
		return *explicit, nil
	}
	stored, err := r.Read(ctx, f.Environment, stage)
	return stored.Version, err
}
