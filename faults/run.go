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
	// warmUp is how long callers run before the fault, faultDuration how long a
	// fault lasts unless it sets another time, recoveryTime how long callers go on
	// after it before the measurement.
	warmUp        = 1500 * time.Millisecond
	faultDuration = 3 * time.Second
	recoveryTime  = 2500 * time.Millisecond
	// measureTime is the last part of a run, in which requests must be answered
	// again.
	measureTime  = 1500 * time.Millisecond
	logTailBytes = 3000
	// tokensPerSecond and firstToken are the token rate and the time to first
	// token of each engine.
	tokensPerSecond  = 4000
	timeToFirstToken = 20 * time.Millisecond
)

func selectFaults(only []string) []fault {
	if len(only) == 0 {
		return faults()
	}
	var selection []fault
	for _, f := range faults() {
		for _, part := range only {
			if strings.Contains(f.name, part) {
				selection = append(selection, f)
				break
			}
		}
	}
	return selection
}

// runAll runs each fault on its own cluster, parallelRuns at a time.
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
	c := harness.New(harness.Options{Bin: a.Bin, Routers: routers, Engines: engines, IgnoreFences: f.ignoreFences, TokensPerSecond: tokensPerSecond, TimeToFirstToken: timeToFirstToken})
	defer c.Close()
	if err := c.Start(ctx); err != nil {
		r.err = fmt.Errorf("start: %w", err)
		r.logs = c.LogTail(logTailBytes)
		return r
	}
	monitor := c.StartMonitor()
	load := c.StartLoad(a.Callers, a.Seed)
	time.Sleep(warmUp)
	r.err = f.inject(ctx, c)
	time.Sleep(recoveryTime)
	before := load.Tally.Count(harness.Answered)
	time.Sleep(measureTime)
	r.answeredAfter = load.Tally.Count(harness.Answered) - before
	load.Stop()
	r.collect(c, load, monitor)
	if r.failed() && a.Verbose {
		r.logs = c.LogTail(logTailBytes)
	}
	return r
}

// collect records the outcomes at callers and engines.
func (r *result) collect(c *harness.Cluster, l *harness.Load, m *harness.Monitor) {
	ctx, cancel := context.WithTimeout(context.Background(), faultDuration)
	defer cancel()
	r.excessReplicas, r.overcommits = m.Stop(ctx)
	r.samples = m.Samples()
	runs, err := c.OrderRuns(ctx)
	if err != nil && r.err == nil {
		r.err = err
	}
	r.duplicated, r.misreported = l.Tally.CheckOrders(runs)
	r.requests = l.Tally.Total()
	r.answered = l.Tally.Count(harness.Answered)
	r.refused = l.Tally.Count(harness.Refused)
	r.lost = l.Tally.Count(harness.Lost)
	r.mismatched = l.Tally.Count(harness.Mismatched)
	r.problems = l.Tally.Problems()
	r.codes = l.Tally.Codes()
}
