package main

import (
	"context"
	"fmt"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// applyDocument stores a document and returns its version.
func applyDocument(ctx context.Context, s metastore.Store, text []byte, base metastore.Version) (metastore.Version, error) {
	a, err := document.New(document.Options{Store: s, Logger: quiet()}).Apply(ctx, document.Update{
		Environment: environmentName,
		Stage:       document.StageProduction,
		Text:        text,
		Actor:       "capacity",
		Base:        base,
	})
	if err != nil {
		return 0, fmt.Errorf("apply document: %w", err)
	}
	return a.Version, nil
}

// storedDocument returns a store that contains a document with the given numbers
// of models, adapters and replicas.
func storedDocument(ctx context.Context, models, adapters, replicas int) (*memstore.Store, error) {
	text, err := documentJSON(models, adapters, replicas)
	if err != nil {
		return nil, err
	}
	s := memstore.New(memstore.Options{})
	_, err = applyDocument(ctx, s, text, 0)
	return s, err
}
