// Package soak runs the two programs of a hosted installation as separate
// processes against stand-ins, brings faults from outside them in overlapping
// series, and judges by what callers and upstreams see.
//
// SOAK_SEEDS is a seed, or a first and a last one with a dash between; SOAK_SECONDS
// is how long each is played and SOAK_LANES how many side by side.
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

// regressions are the seeds that once failed, with the time they were played, how
// many kinds of faults there were then, and the cause.
var regressions = []struct {
	seed    uint64
	seconds int
	kinds   int
	cause   string
}{
	{seed: 4, seconds: 8, kinds: 24, cause: "a refusal at the deadline told no time to come back"},
	{seed: 9, seconds: 8, kinds: 24, cause: "a hangup before the process listened for it ended the process"},
	{seed: 12, seconds: 8, kinds: 24, cause: "a hangup during a graceful shutdown ended the process"},
	{seed: 7, seconds: 15, kinds: 24, cause: "places held by a killed router were kept for 30 s"},
}

const (
	// defaultSeeds and defaultSeconds are the short run of CI.
	defaultSeeds   = "1-3"
	defaultSeconds = 8
	defaultLanes   = 4
)

var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
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
	played := time.Duration(number(t, "SOAK_SECONDS", defaultSeconds)) * time.Second
	type round struct {
		seed   uint64
		played time.Duration
		kinds  []faultKind
	}
	var queue []round
	if os.Getenv("SOAK_SEEDS") == "" {
		for _, r := range regressions {
			queue = append(queue, round{r.seed, time.Duration(r.seconds) * time.Second, faultKinds[:r.kinds]})
		}
	}
	for s := first; s <= last; s++ {
		queue = append(queue, round{s, played, faultKinds})
	}
	work := make(chan round)
	var lanes sync.WaitGroup
	for lane := range number(t, "SOAK_LANES", defaultLanes) {
		lanes.Go(func() {
			for r := range work {
				t.Run(fmt.Sprintf("seed=%d", r.seed), func(t *testing.T) { play(t, lane, r.seed, r.played, r.kinds) })
			}
		})
	}
	for _, r := range queue {
		work <- r
	}
	close(work)
	lanes.Wait()
}

// play runs one seed: an installation, its callers, the faults, then a calm end
// in which everything has to be served again.
func play(t *testing.T, lane int, seed uint64, played time.Duration, kinds []faultKind) {
	in := newInstallation(t, lane)
	defer in.close()
	j := newJudge(in)
	stopCallers := in.startCallers(j, seed)
	in.bring(plan(seed, played, kinds))
	in.calm()
	j.recovered()
	j.metrics()
	stopCallers()
	j.audit()
	t.Logf("seed %d: %s", seed, j.summary())
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

func number(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s: %q is not a count", name, text)
	}
	return n
}
