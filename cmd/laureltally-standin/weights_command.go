package main

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/standin"
)

// weightsCommand runs the weight store.
type weightsCommand struct {
	Listen           string  `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	LoadsPerSecond   float64 `arg:"--loads-per-second" default:"5" help:"maximum number of load starts per second"`
	ParallelLoads    int     `arg:"--parallel-loads" default:"4" help:"concurrent loads at full speed"`
	ParallelAdapters int     `arg:"--parallel-adapters" default:"32" help:"concurrent adapter loads at full speed"`
	MBPerSecond      float64 `arg:"--mb-per-second" help:"full speed of one load in MiB per second, 0 for unlimited"`
}

func (c *weightsCommand) run(ctx context.Context, stdout io.Writer) error {
	store := standin.NewWeightStore(standin.WeightStoreOptions{
		LoadsPerSecond:   c.LoadsPerSecond,
		ParallelLoads:    c.ParallelLoads,
		ParallelAdapters: c.ParallelAdapters,
		MBPerSecond:      c.MBPerSecond,
	})
	return serve(ctx, context.Background(), c.Listen, store, stdout)
}
