package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/internal/harness"
)

const (
	routers = 2
	engines = 2
	// parallelRuns is how many clusters run at once.
	parallelRuns = 3
	// warmUp is how long callers run before the fault, during how long it lasts
	// unless it says otherwise, recovery how long callers go on after it.
	warmUp   = 1500 * time.Millisecond
	during   = 3 * time.Second
	recovery = 2500 * time.Millisecond
	// afterTime is the last part of a run, in which answers must come again.
	afterTime = 1500 * time.Millisecond
	logBytes  = 3000
	// tokensPerSecond and firstToken are those of each engine.
	tokensPerSecond = 4000
	firstToken      = 20 * time.Millisecond
)

func selected(only []string) []fault {
	if len(only) == 0 {
		return faults()
	}
	var some []fault
	for _, f := range faults() {
		for _, part := range only {
			if strings.Contains(f.name, part) {
				some = append(some, f)
				break
			}
		}
	}
	return some
}

// runAll runs each fault on a cluster of its own.
func runAll(ctx context.Context, a arguments, all []fault) []result {
	results := make([]result, len(all))
	var g errgroup.Group
	g.SetLimit(parallelRuns)
	for i, f := range all {
		g.Go(func() error {
			results[i] = run(ctx, a, f)
			return nil
		})
	}
	_ = g.Wait()
	return results
}

func run(ctx context.Context, a arguments, f fault) result {
	r := result{name: f.name}
	c := harness.New(harness.Options{Bin: a.Bin, Routers: routers, Engines: engines, IgnoreFences: f.ignoreFences, TokensPerSecond: tokensPerSecond, TimeToFirstToken: firstToken})
	defer c.Close()
	if err := c.Start(ctx); err != nil {
		r.err = fmt.Errorf("start: %w", err)
		r.logs = c.LogTail(logBytes)
		return r
	}
	monitor := c.StartMonitor()
	load := c.StartLoad(a.Callers, a.Seed)
	time.Sleep(warmUp)
	r.err = f.bring(ctx, c)
	time.Sleep(recovery)
	before := load.Tally.Count(harness.Answered)
	time.Sleep(afterTime)
	r.answeredAfter = load.Tally.Count(harness.Answered) - before
	load.Stop()
	r.take(c, load, monitor)
	if r.bad() && a.Verbose {
		r.logs = c.LogTail(logBytes)
	}
	return r
}

// take reads what callers and engines saw.
func (r *result) take(c *harness.Cluster, l *harness.Load, m *harness.Monitor) {
	ctx, cancel := context.WithTimeout(context.Background(), during)
	defer cancel()
	r.over, r.overcommits = m.Stop(ctx)
	r.samples = m.Samples()
	runs, err := c.OrderRuns(ctx)
	if err != nil && r.err == nil {
		r.err = err
	}
	r.doubled, r.untrue = l.Tally.CheckOrders(runs)
	r.requests = l.Tally.Total()
	r.answered = l.Tally.Count(harness.Answered)
	r.refused = l.Tally.Count(harness.Refused)
	r.lost = l.Tally.Count(harness.Lost)
	r.crossed = l.Tally.Count(harness.Mismatched)
	r.problems = l.Tally.Problems()
	r.codes = l.Tally.Codes()
}
