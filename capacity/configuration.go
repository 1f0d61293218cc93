package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
)

// inForceMilliseconds is how long a change may take to be in force everywhere.
const inForceMilliseconds = 18_000.0

// measuredAdapters is the size of the document that is brought in force.
const measuredAdapters = 2000

// configuration measures what a document takes and how soon it is in force.
func configuration(t *table) error {
	ctx := context.Background()
	sizes := []float64{1000, 2000, 4000, 8000}
	size := series{What: "stored document, bytes", By: "adapters", Xs: sizes, At: targetAdapters, Budget: valueBytes}
	if err := t.measure(size, func(n int) (float64, error) { return documentBytes(ctx, n) }); err != nil {
		return err
	}
	parse := series{What: "read a document in one process, µs", By: "adapters", Xs: sizes, At: targetAdapters}
	if err := t.measure(parse, func(n int) (float64, error) { return parseCost(ctx, n) }); err != nil {
		return err
	}
	force := series{
		What: "change in force at every watcher, ms", By: "watchers", Xs: []float64{25, 50, 100, 200},
		At: targetRouters + targetAgents, Budget: inForceMilliseconds,
	}
	return t.measure(force, func(n int) (float64, error) { return inForceTime(ctx, n) })
}

func documentBytes(ctx context.Context, adapters int) (float64, error) {
	o, err := documentObject(ctx, adapters)
	return float64(len(o.Value)), err
}

func documentObject(ctx context.Context, adapters int) (metastore.Object, error) {
	s, err := storedDocument(ctx, targetModels, adapters, targetAgents)
	if err != nil {
		return metastore.Object{}, err
	}
	o, err := s.Get(ctx, document.Key(environmentName, document.StageProduction))
	if err != nil {
		return metastore.Object{}, fmt.Errorf("read document: %w", err)
	}
	return o, nil
}

// parseCost is the processor time from a document's listing to its use.
func parseCost(ctx context.Context, adapters int) (float64, error) {
	s, err := storedDocument(ctx, targetModels, adapters, targetAgents)
	if err != nil {
		return 0, err
	}
	return costOf(parses, func() error {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		w := document.NewWatcher(document.WatcherOptions{
			Store: s, Environment: environmentName, Logger: quiet(), OnChange: func(document.Active) { stop() },
		})
		_ = w.Run(ctx)
		return nil
	})
}

// parses is how often a document is read for its mean cost.
const parses = 8

// inForceTime is the time in milliseconds from the answer to a write until the
// last of n watchers in this process has the document in force.
func inForceTime(ctx context.Context, n int) (float64, error) {
	s, err := storedDocument(ctx, targetModels, measuredAdapters, targetAgents)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(ctx)
	var running, first, second sync.WaitGroup
	defer running.Wait()
	defer stop()
	first.Add(n)
	second.Add(n)
	for range n {
		running.Go(func() { watchTwice(ctx, s, &first, &second) })
	}
	first.Wait()
	base, err := s.Get(ctx, document.Key(environmentName, document.StageProduction))
	if err != nil {
		return 0, fmt.Errorf("read document: %w", err)
	}
	text, err := newText(targetModels, measuredAdapters, targetAgents-1)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := apply(ctx, s, text, base.Version); err != nil {
		return 0, err
	}
	second.Wait()
	return float64(time.Since(start)) / float64(time.Millisecond), nil
}

// watchTwice follows the document and reports its first two versions.
func watchTwice(ctx context.Context, s metastore.Store, versions ...*sync.WaitGroup) {
	_ = document.NewWatcher(document.WatcherOptions{
		Store: s, Environment: environmentName, Logger: quiet(),
		OnChange: func(document.Active) {
			if len(versions) > 0 {
				versions[0].Done()
				versions = versions[1:]
			}
		},
	}).Run(ctx)
}
