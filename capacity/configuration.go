package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/metastore"
)

// propagationLimitMS is the time in which a change must be in use everywhere.
const propagationLimitMS = 18_000.0

// propagatedAdapters is the number of adapters in the document whose propagation
// is measured.
const propagatedAdapters = 2000

// configuration measures the size of a document, the cost to read it, and the
// time until all watchers use it.
func configuration(t *table) error {
	ctx := context.Background()
	sizes := []float64{1000, 2000, 4000, 8000}
	size := series{Quantity: "stored document, bytes", SizeName: "adapters", Xs: sizes, TargetSize: targetAdapters, Budget: maxValueBytes}
	if err := t.measure(size, func(n int) (float64, error) { return documentBytes(ctx, n) }); err != nil {
		return err
	}
	parse := series{Quantity: "read a document in one process, µs", SizeName: "adapters", Xs: sizes, TargetSize: targetAdapters}
	if err := t.measure(parse, func(n int) (float64, error) { return parseCost(ctx, n) }); err != nil {
		return err
	}
	propagation := series{
		Quantity: "change in force at every watcher, ms", SizeName: "watchers", Xs: []float64{25, 50, 100, 200},
		TargetSize: targetRouters + targetAgents, Budget: propagationLimitMS,
	}
	return t.measure(propagation, func(n int) (float64, error) { return propagationTime(ctx, n) })
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

// parseCost returns the CPU time in microseconds that one watcher takes to read,
// parse and use a stored document.
func parseCost(ctx context.Context, adapters int) (float64, error) {
	s, err := storedDocument(ctx, targetModels, adapters, targetAgents)
	if err != nil {
		return 0, err
	}
	return costOf(parseRuns, func() error {
		ctx, stop := context.WithCancel(ctx)
		defer stop()
		w := document.NewWatcher(document.WatcherOptions{
			Store: s, Environment: environmentName, Logger: quiet(), OnChange: func(document.Active) { stop() },
		})
		_ = w.Run(ctx)
		return nil
	})
}

// parseRuns is the number of reads over which parseCost averages.
const parseRuns = 8

// propagationTime returns the time in milliseconds from the start of a write
// until the last of n watchers in this process uses the new document.
func propagationTime(ctx context.Context, n int) (float64, error) {
	s, err := storedDocument(ctx, targetModels, propagatedAdapters, targetAgents)
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
		running.Go(func() { watchVersions(ctx, s, &first, &second) })
	}
	first.Wait()
	base, err := s.Get(ctx, document.Key(environmentName, document.StageProduction))
	if err != nil {
		return 0, fmt.Errorf("read document: %w", err)
	}
	text, err := documentJSON(targetModels, propagatedAdapters, targetAgents-1)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if _, err := applyDocument(ctx, s, text, base.Version); err != nil {
		return 0, err
	}
	second.Wait()
	return float64(time.Since(start)) / float64(time.Millisecond), nil
}

// watchVersions watches the document and marks one wait group as done for each
// version that it receives.
func watchVersions(ctx context.Context, s metastore.Store, versions ...*sync.WaitGroup) {
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
