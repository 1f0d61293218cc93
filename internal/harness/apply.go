package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// Apply changes the document as an operator does: it reads, edits and applies the
// document, and starts over if another writer changed it in between.
func (c *Cluster) Apply(ctx context.Context, actor string, edit func(*config.Document)) error {
	client, err := objecthttp.New(objecthttp.Options{BaseURL: c.PlatformURL})
	if err != nil {
		return fmt.Errorf("create platform client: %w", err)
	}
	repository := document.New(document.Options{Store: client})
	for {
		err := applyOnce(ctx, repository, actor, edit)
		var conflict *document.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

func applyOnce(ctx context.Context, r *document.Repository, actor string, edit func(*config.Document)) error {
	stored, err := r.Read(ctx, Environment, document.StageProduction)
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	d, err := stored.Parse()
	if err != nil {
		return fmt.Errorf("parse document: %w", err)
	}
	edit(&d)
	text, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	_, err = r.Apply(ctx, document.Update{
		Environment: Environment, Stage: document.StageProduction, Text: text, Actor: actor, Base: stored.Version, Reason: "harness",
	})
	return err
}
