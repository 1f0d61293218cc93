package main

import (
	"context"
	"fmt"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
)

// apply stores a document's text and returns its version.
func apply(ctx context.Context, s metastore.Store, text []byte, base metastore.Version) (metastore.Version, error) {
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

// storedDocument returns a store that holds a document.
func storedDocument(ctx context.Context, models, adapters, replicas int) (*memstore.Store, error) {
	text, err := newText(models, adapters, replicas)
	if err != nil {
		return nil, err
	}
	s := memstore.New(memstore.Options{})
	_, err = apply(ctx, s, text, 0)
	return s, err
}
