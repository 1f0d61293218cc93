package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/laureltally/laureltally/internal/harness"
)

const (
	callers   = 12
	loadSeed  = 7
	phaseTime = time.Second
	// tokensPerSecond and firstToken are the rate and the time to first token of each
	// engine.
	tokensPerSecond = 4000
	firstToken      = 20 * time.Millisecond
)

// TestSeparateProcesses sends streamed and unstreamed requests and orders through
// the routers and agents, and restarts each of them under load.
func TestSeparateProcesses(t *testing.T) {
	c := harness.New(harness.Options{Bin: bin, Routers: 2, Engines: 2, TokensPerSecond: tokensPerSecond, TimeToFirstToken: firstToken})
	defer c.Close()
	if err := c.Start(t.Context()); err != nil {
		logProcessTails(t, c)
		t.Fatal(err)
	}
	monitor := c.StartMonitor()
	load := c.StartLoad(callers, loadSeed)
	time.Sleep(phaseTime)
	for _, p := range append(c.Agents, c.Routers...) {
		if err := p.Terminate(); err != nil {
			t.Errorf("%s: %v", p.Name, err)
		}
		if err := c.Restart(p); err != nil {
			t.Fatal(err)
		}
		time.Sleep(phaseTime)
	}
	load.Stop()
	check(t, c, load, monitor)
}

// check fails the test for each violated guarantee, and if nothing was measured.
func check(t *testing.T, c *harness.Cluster, l *harness.Load, m *harness.Monitor) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	overLimit, overcommits := m.Stop(ctx)
	runs, err := c.OrderRuns(ctx)
	if err != nil {
		t.Fatal(err)
	}
	duplicated, misreported := l.Tally.CheckOrders(runs)
	answered := l.Tally.Count(harness.Answered)
	t.Logf("%d requests, %d answered, %d refused, %d engine samples", l.Tally.Total(), answered, l.Tally.Count(harness.Refused), m.Samples())
	if lost, mismatched := l.Tally.Count(harness.Lost), l.Tally.Count(harness.Mismatched); lost+mismatched+duplicated+misreported > 0 {
		t.Errorf("%d lost, %d mismatched, %d duplicated, %d misreported", lost, mismatched, duplicated, misreported)
	}
	for _, p := range l.Tally.Problems() {
		t.Log(p)
	}
	if overLimit > 0 || overcommits > 0 {
		t.Errorf("%d replicas over the limit, %d loads without memory", overLimit, overcommits)
	}
	if answered == 0 || m.Samples() == 0 {
		t.Error("nothing was answered or sampled")
	}
}

const tailBytes = 2000

func logProcessTails(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for name, tail := range c.LogTail(tailBytes) {
		t.Logf("%s:\n%s", name, tail)
	}
}
