package replica

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// simRuns is how many random runs the unbroken machine has to pass.
var simRuns = flag.Int("sim.runs", 2000, "random runs of the unbroken machine")

// simLength is the number of events of a run.
const simLength = 300

// rapidDefaults are the settings of the rapid tests unless flags give others.
var rapidDefaults = map[string]string{"rapid.seed": "4", "rapid.steps": "200", "rapid.checks": "300"}

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range rapidDefaults {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

func TestReplicasAndMemoryStayWithinWhatWasDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(flaws{}, simFlaws{})
		if rapid.Bool().Draw(t, "warm") {
			w.warm()
		}
		steps := map[string]func(*rapid.T){"": func(t *rapid.T) {
			if v := w.check(); v != "" {
				t.Fatal(v)
			}
		}}
		for name, act := range actions {
			steps[name] = func(t *rapid.T) {
				w.pick = func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
				act(w)
			}
		}
		t.Repeat(steps)
	})
}

// weighted returns the names of the actions, the rare ones once and those that
// serve most often.
func weighted() []string {
	times := map[string]int{"VM replaced": 1, "agent dies": 1, "engine dies": 1, "drain": 1, "all read": 2, "need": 12, "engine works": 18}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(actions)) {
		names = append(names, slices.Repeat([]string{name}, cmp.Or(times[name], 6))...)
	}
	return names
}

func unbroken(f flaws, sf simFlaws) bool { return f == (flaws{}) && sf == (simFlaws{}) }

// search runs the world with a flaw until an invariant breaks, and returns the
// violation with the steps that led to it.
func search(f flaws, sf simFlaws, runs int) (string, []string) {
	names := weighted()
	leased := 0
	for run := range runs {
		r := rand.New(rand.NewPCG(uint64(run), 7))
		w := newWorld(f, sf)
		if run%2 == 1 {
			w.warm()
		}
		w.pick = r.IntN
		var trace []string
		for range simLength {
			name := names[r.IntN(len(names))]
			trace = append(trace, name)
			actions[name](w)
			if v := w.check(); v != "" {
				return fmt.Sprintf("run %d step %d: %s", run, len(trace), v), trace
			}
		}
		leased += w.leased
		if !unbroken(f, sf) {
			continue
		}
		if v := w.heal(); v != "" {
			return fmt.Sprintf("run %d does not converge: %s", run, v), trace
		}
	}
	if leased < runs {
		return fmt.Sprintf("%d runs gave %d leases, too few to show anything", runs, leased), nil
	}
	return "", nil
}

func TestEachProtectionIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		flaws flaws
		sim   simFlaws
	}{
		"acknowledge before the unload":  {flaws: flaws{ackBeforeUnload: true}},
		"ignore a pending order":         {flaws: flaws{ignorePending: true}},
		"trust a stale listing":          {flaws: flaws{staleRights: true}},
		"use a given-up fence again":     {flaws: flaws{reuseFence: true}},
		"load before reserving":          {flaws: flaws{loadFirst: true}},
		"free on a timeout":              {sim: simFlaws{freeOnTimeout: true}},
		"write without condition":        {sim: simFlaws{blindWrite: true}},
		"know a slot by its address":     {sim: simFlaws{slotByAddress: true}},
		"unload under a lease":           {flaws: flaws{cutRequests: true}},
		"not wait for orders in transit": {sim: simFlaws{noSettle: true}},
	} {
		t.Run(name, func(t *testing.T) {
			violation, trace := search(c.flaws, c.sim, 12000)
			if violation == "" {
				t.Fatal("no invariant broke")
			}
			t.Logf("%s\n  ... %s", violation, strings.Join(trace[max(0, len(trace)-12):], ", "))
		})
	}
}

func TestNoProtectionMissing(t *testing.T) {
	if violation, trace := search(flaws{}, simFlaws{}, *simRuns); violation != "" {
		t.Fatalf("%s\n%s", violation, strings.Join(trace, ", "))
	}
}
