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

// simRuns is the number of random runs that the machine without faults has to
// pass.
var simRuns = flag.Int("sim.runs", 2000, "random runs of the machine without faults")

// simLength is the number of events of a run.
const simLength = 300

// rapidDefaults are the settings of the rapid tests unless flags set others.
var rapidDefaults = map[string]string{"rapid.seed": "4", "rapid.steps": "200", "rapid.checks": "300"}

// TestMain fixes the seed of the random tests unless a flag sets one.
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

func TestReplicasAndMemoryStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(faults{}, simFaults{})
		if rapid.Bool().Draw(t, "warm") {
			w.warmUp()
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

// weighted returns the names of the actions, rare ones once and the most useful
// ones most often.
func weighted() []string {
	times := map[string]int{"VM replaced": 1, "agent dies": 1, "engine dies": 1, "drain": 1, "all read": 2, "need": 12, "engine works": 18}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(actions)) {
		names = append(names, slices.Repeat([]string{name}, cmp.Or(times[name], 6))...)
	}
	return names
}

func faultFree(f faults, sf simFaults) bool { return f == (faults{}) && sf == (simFaults{}) }

// findViolation runs the simulation with a fault until an invariant breaks, and
// returns the violation with the steps that led to it.
func findViolation(f faults, sf simFaults, runs int) (string, []string) {
	names := weighted()
	leaseCount := 0
	for run := range runs {
		r := rand.New(rand.NewPCG(uint64(run), 7))
		w := newSimulation(f, sf)
		if run%2 == 1 {
			w.warmUp()
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
		leaseCount += w.leaseCount
		if !faultFree(f, sf) {
			continue
		}
		if v := w.converge(); v != "" {
			return fmt.Sprintf("run %d does not converge: %s", run, v), trace
		}
	}
	if leaseCount < runs {
		return fmt.Sprintf("%d runs gave %d leases, want at least one per run", runs, leaseCount), nil
	}
	return "", nil
}

func TestEachFaultBreaksAnInvariant(t *testing.T) {
	for name, c := range map[string]struct {
		faults faults
		sim    simFaults
	}{
		"release before the unload":           {faults: faults{releaseBeforeUnload: true}},
		"ignore an order in flight":           {faults: faults{ignoreInFlight: true}},
		"accept a stale listing":              {faults: faults{staleListings: true}},
		"reuse a relinquished fencing token":  {faults: faults{reuseFence: true}},
		"load without reserving memory":       {faults: faults{loadWithoutMemory: true}},
		"release a slot on a timeout":         {sim: simFaults{releaseOnTimeout: true}},
		"write unconditionally":               {sim: simFaults{unconditionalWrite: true}},
		"identify a slot by the VM's address": {sim: simFaults{slotByAddress: true}},
		"unload under a lease":                {faults: faults{ignoreLeases: true}},
		"do not wait for orders in transit":   {sim: simFaults{noSettle: true}},
	} {
		t.Run(name, func(t *testing.T) {
			violation, trace := findViolation(c.faults, c.sim, 12000)
			if violation == "" {
				t.Fatal("no invariant broke")
			}
			t.Logf("%s\n  ... %s", violation, strings.Join(trace[max(0, len(trace)-12):], ", "))
		})
	}
}

func TestNoInvariantBreaksWithoutFaults(t *testing.T) {
	if violation, trace := findViolation(faults{}, simFaults{}, *simRuns); violation != "" {
		t.Fatalf("%s\n%s", violation, strings.Join(trace, ", "))
	}
}
