package main

import (
	"context"
	"io"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/standin"
)

// engineCommand runs a model engine.
type engineCommand struct {
	Listen           string        `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on"`
	MemoryMB         int64         `arg:"--memory-mb" default:"81920" help:"accelerator memory in MiB"`
	RefuseOvercommit bool          `arg:"--refuse-overcommit" help:"reject loads that don't fit into memory"`
	ChecksFences     bool          `arg:"--checks-fences" help:"reject orders with an outdated fencing token"`
	Models           []ident.Model `arg:"--model,separate" help:"name of a known model, repeatable; default: every name is known"`
	LoadMemory       time.Duration `arg:"--load-memory" default:"50ms" help:"load time from host memory"`
	LoadDisk         time.Duration `arg:"--load-disk" default:"200ms" help:"load time from disk"`
	LoadRemote       time.Duration `arg:"--load-remote" default:"500ms" help:"load time of remote weights, in addition to the weight store's time"`
	UnloadTime       time.Duration `arg:"--unload-time" default:"10ms" help:"unload time"`
	AdapterTime      time.Duration `arg:"--adapter-time" default:"10ms" help:"load time of an adapter"`
	WeightStore      string        `arg:"--weights" help:"base URL of the weight store"`
	MaxRunning       int           `arg:"--max-running" default:"32" help:"maximum number of requests in the batch"`
	TokensPerSecond  float64       `arg:"--tokens-per-second" help:"token rate of the whole batch, 0 for unlimited"`
	FirstToken       time.Duration `arg:"--first-token" default:"0s" help:"time to the first token"`
	LoadLag          time.Duration `arg:"--load-lag" default:"0s" help:"age of the load report"`
	CacheLag         time.Duration `arg:"--cache-lag" default:"0s" help:"delay of cache events"`
	CacheGap         int           `arg:"--cache-gap" help:"drop every n-th cache event, 0 for none"`
}

func (c *engineCommand) run(ctx context.Context, stdout io.Writer) error {
	e := standin.NewEngine(standin.EngineOptions{
		MemoryMB:         c.MemoryMB,
		RefuseOvercommit: c.RefuseOvercommit,
		ChecksFences:     c.ChecksFences,
		Models:           c.Models,
		LoadTimes: map[engine.Tier]time.Duration{
			engine.TierMemory: c.LoadMemory,
			engine.TierDisk:   c.LoadDisk,
			engine.TierRemote: c.LoadRemote,
		},
		UnloadTime:             c.UnloadTime,
		AdapterLoadTime:        c.AdapterTime,
		WeightStore:            c.WeightStore,
		MaxRunning:             c.MaxRunning,
		TokensPerSecond:        c.TokensPerSecond,
		TimeToFirstToken:       c.FirstToken,
		LoadReportLag:          c.LoadLag,
		CacheEventLag:          c.CacheLag,
		CacheEventDropInterval: c.CacheGap,
	})
	defer e.Close()
	return serve(ctx, context.Background(), c.Listen, e, stdout)
}
