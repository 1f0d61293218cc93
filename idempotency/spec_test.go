package idempotency

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	simSteps = 400
	// faultSeeds is the maximum number of runs for a fault to cause a duplicate
	// run.
	faultSeeds = 4000
	// faultFreeSeeds is the number of runs without a fault.
	faultFreeSeeds = 2000
)

// TestKeyRunsAtMostOnce checks the property of spec/claims.pml on the
// implementation. Use -rapid.checks and -rapid.seed for more or other runs.
func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(noFault, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		t.Repeat(map[string]func(*rapid.T){
			"step": func(*rapid.T) { w.step() },
			"": func(t *rapid.T) {
				if w.hasDuplicateRun() {
					t.Fatalf("runs: %v", w.runs)
				}
			},
		})
	})
}

func TestKeyRunsAtMostOnceInLongRuns(t *testing.T) {
	var runs, joined, moved int
	for seed := range uint64(faultFreeSeeds) {
		w := runSimulation(noFault, seed)
		if w.hasDuplicateRun() {
			t.Fatalf("seed %d: runs %v", seed, w.runs)
		}
		runs, joined, moved = runs+len(w.runs), joined+w.joined, moved+w.moved
	}
	t.Logf("%d runs, %d joins, %d moves", runs, joined, moved)
	if runs == 0 || joined == 0 || moved == 0 {
		t.Fatalf("%d runs, %d joins, %d moves: want at least one of each", runs, joined, moved)
	}
}

// TestEachFaultCausesADuplicateRun shows that the simulated events detect the
// violation that each rule prevents.
func TestEachFaultCausesADuplicateRun(t *testing.T) {
	faults := []fault{noTombstone, noIncarnation, moveWhenUnknown, blindMove, noReread, dropTombstone, lateRefusal}
	for _, f := range faults {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(faultSeeds) {
				if w := runSimulation(f, seed); w.hasDuplicateRun() {
					t.Logf("seed %d: runs %v", seed, w.runs)
					return
				}
			}
			t.Fatalf("no duplicate run in %d seeds", faultSeeds)
		})
	}
}

func runSimulation(f fault, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 0))
	w := newSimulation(f, random.IntN)
	for range simSteps {
		if w.step(); w.hasDuplicateRun() {
			break
		}
	}
	return w
}
