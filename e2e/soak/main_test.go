// Package soak runs the two programs of a hosted installation as separate
// processes against fakes of the platform, injects overlapping external faults,
// and checks what callers and upstreams observe.
//
// SOAK_SEEDS is a seed, or a range such as 1-3. SOAK_SECONDS is the time for which
// faults of each seed are injected, and SOAK_LANES the number of seeds that run in
// parallel. ORDER_BIN names a folder with other builds of the two programs. For
// ORDER_SEEDS, ORDER_SECONDS and ORDER_WORKER see TestOrder.
package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// regressions are seeds that once failed, with their duration, the number of kinds
// of faults at the time, and the cause.
var regressions = []struct {
	seed    uint64
	seconds int
	kinds   int
	cause   string
}{
	{seed: 4, seconds: 8, kinds: 24, cause: "a refusal at the deadline had no time to retry after"},
	{seed: 9, seconds: 8, kinds: 24, cause: "a SIGHUP before the process had installed its signal handler ended the process"},
	{seed: 12, seconds: 8, kinds: 24, cause: "a SIGHUP during a graceful shutdown ended the process"},
	{seed: 7, seconds: 15, kinds: 24, cause: "reservations of a killed router were kept for 30 s"},
}

const (
	// defaultSeeds and defaultSeconds are those of the short run in CI.
	defaultSeeds   = "1-3"
	defaultSeconds = 8
	defaultLanes   = 4
)

var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	if file := os.Getenv(engineSettingsVariable); file != "" {
		return runEngine(file)
	}
	if bin = os.Getenv("ORDER_BIN"); bin != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "laureltally-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/laureltally-ingress", "../../cmd/laureltally-sidecar")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	bin = dir
	return m.Run()
}

func TestSoak(t *testing.T) {
	first, last := seeds(t)
	duration := time.Duration(intSetting(t, "SOAK_SECONDS", defaultSeconds)) * time.Second
	type round struct {
		seed     uint64
		duration time.Duration
		kinds    []faultKind
	}
	var rounds []round
	if os.Getenv("SOAK_SEEDS") == "" {
		for _, r := range regressions {
			rounds = append(rounds, round{r.seed, time.Duration(r.seconds) * time.Second, faultKinds[:r.kinds]})
		}
	}
	for s := first; s <= last; s++ {
		rounds = append(rounds, round{s, duration, faultKinds})
	}
	work := make(chan round)
	var workers sync.WaitGroup
	for worker := range intSetting(t, "SOAK_LANES", defaultLanes) {
		workers.Go(func() {
			for r := range work {
				t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) { runSeed(t, worker, r.seed, r.duration, r.kinds) })
			}
		})
	}
	for _, r := range rounds {
		work <- r
	}
	close(work)
	workers.Wait()
}

// runSeed runs one seed: it starts an installation and its callers, injects the
// faults, and then checks that everything is served again.
func runSeed(t *testing.T, worker int, seed uint64, duration time.Duration, kinds []faultKind) {
	n := soakSize
	n.tenants = seed%2 == 1
	in := newInstallation(t, worker, n)
	defer in.close()
	check := newChecker(in)
	stopCallers := in.startCallers(check, seed)
	in.inject(planFaults(seed, duration, kinds))
	in.awaitReady()
	check.checkRecovery()
	check.checkMetrics()
	stopCallers()
	check.checkResumption("all routers", in.killRouters)
	check.checkUpstreams()
	t.Logf("seed %d: %s", seed, check.summary())
}

func seeds(t *testing.T) (first, last uint64) {
	text := os.Getenv("SOAK_SEEDS")
	if text == "" {
		text = defaultSeeds
	}
	a, b, ranged := strings.Cut(text, "-")
	if !ranged {
		b = a
	}
	first, err := strconv.ParseUint(a, 10, 64)
	if err != nil {
		t.Fatalf("SOAK_SEEDS: %v", err)
	}
	if last, err = strconv.ParseUint(b, 10, 64); err != nil {
		t.Fatalf("SOAK_SEEDS: %v", err)
	}
	return first, last
}

func intSetting(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s: %q is not a positive integer", name, text)
	}
	return n
}
